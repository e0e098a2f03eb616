#pragma once

#include "Coordination/Acceptance.h"
#include "Coordination/ConfigurationDistribution.h"
#include "Coordination/CrashReports.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/Membership.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/ReaderDuty.h"
#include "Coordination/StatusCollector.h"

namespace teaselhold::coordination {

/// The decision logic of a node in a fleet with relays. Dispatches each event
/// to membership, endpoint distribution and configuration distribution, and
/// returns the commands that follow from it.
class NodeCore
{
public:
  explicit NodeCore(NodeOptions aOptions);
  NodeCore(const NodeCore&) = delete;
  NodeCore& operator=(const NodeCore&) = delete;

  Commands Handle(const Event& aEvent, state::Instant aNow);

  FleetStatus Status() const;

  // Internal state, exposed for tests and measurements.
  const PeerDirectory& Peers() const { return membership_.Peers(); }
  const EndpointDistribution& Endpoints() const { return endpoints_; }
  const ConfigurationDistribution& Distribution() const
  {
    return distribution_;
  }
  const ReaderDuty& Reader() const { return reader_; }

private:
  void OnMessage(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnUpstreamChanged(state::EndpointState aState, const Step& aStep);
  void OnHeadReceived(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnTick(const Step& aStep);
  void UpdateConfiguration();
  void PublishIfChanged(Commands& aCommands);
  void SetSender(Commands& aCommands) const;
  OwnVersion Version() const;

  NodeOptions options_;
  EndpointDistribution endpoints_;
  Membership membership_;
  StatusCollector status_;
  CallNumbers callNumbers_;
  ConfigurationDistribution distribution_;
  ReaderDuty reader_;
  Acceptance acceptance_;
  CrashReports crashes_;
  state::ConfigurationPointer configuration_;
  state::Instant lastEventTime_{ 0 };
  bool isStarted_ = false;
  bool isPublishDue_ = true;
};

} // namespace teaselhold::coordination
