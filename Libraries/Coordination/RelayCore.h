#pragma once

#include "Coordination/ApplyCoordinator.h"
#include "Coordination/ConfigurationDistribution.h"
#include "Coordination/CrashReports.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/Membership.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/ReaderElection.h"
#include "Coordination/StatusCollector.h"

namespace teaselhold::coordination {

/// The decision logic of a node in a fleet with relays. Dispatches each event
/// to membership, endpoint distribution and configuration distribution, and
/// returns the commands that follow from it.
class RelayCore
{
public:
  explicit RelayCore(NodeOptions aOptions);
  RelayCore(const RelayCore&) = delete;
  RelayCore& operator=(const RelayCore&) = delete;

  Commands Handle(const Event& aEvent, state::Instant aNow);

  FleetStatus Status() const;

  // Internal state, exposed for tests and measurements.
  const PeerDirectory& Peers() const { return membership_.Peers(); }
  const EndpointDistribution& Endpoints() const { return endpoints_; }
  const ConfigurationDistribution& Distribution() const
  {
    return distribution_;
  }
  const ReaderElection& Reader() const { return reader_; }

private:
  void OnMessage(const wire::Envelope& aEnvelope, const StepContext& aStep);
  void OnUpstreamChanged(state::EndpointState aState, const StepContext& aStep);
  void OnHeadReceived(const wire::Envelope& aEnvelope,
                      const StepContext& aStep);
  void OnTick(const StepContext& aStep);
  void UpdateConfiguration();
  void PublishIfChanged(Commands& aCommands);
  void SetSender(Commands& aCommands) const;
  OwnVersions Version() const;

  NodeOptions options_;
  EndpointDistribution endpoints_;
  Membership membership_;
  StatusCollector status_;
  StoreCallNumbers callNumbers_;
  ConfigurationDistribution distribution_;
  ReaderElection reader_;
  ApplyCoordinator applyCoordinator_;
  CrashReports crashes_;
  state::ConfigurationPointer configuration_;
  state::Instant lastEventTime_{ 0 };
  bool isStarted_ = false;
  bool isPublishDue_ = true;
};

} // namespace teaselhold::coordination
