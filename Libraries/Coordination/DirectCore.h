#pragma once

#include "Coordination/CrashGuard.h"
#include "Coordination/NodeEvents.h"

#include <map>

namespace teaselhold::coordination {

/// The baseline that measurements compare against: every node watches the
/// store for the whole text and announces itself to every seed. It does not
/// scale and is not meant for production.
class DirectCore
{
public:
  explicit DirectCore(NodeOptions aOptions);

  Commands Handle(const Event& aEvent, state::Instant aNow);

  FleetStatus Status() const;

private:
  void OnTick(state::Instant aNow, Commands& aCommands);
  void OnMessage(const wire::Envelope& aEnvelope, state::Instant aNow);
  void OnCrash(std::uint64_t aFingerprint,
               state::Instant aNow,
               Commands& aCommands);
  void OnStoreAnswer(const StoreAnswered& aAnswer, Commands& aCommands);
  void OnConfiguration(const protocol::StoreEntry& aEntry, Commands& aCommands);
  void OnApply(const ApplyRequested& aRequest, Commands& aCommands);
  void OnSwapAnswer(const StoreResult& aResult, Commands& aCommands);
  void Watch(Commands& aCommands);
  void Announce(Commands& aCommands) const;
  void SendToSeeds(wire::Envelope aEnvelope, Commands& aCommands) const;
  void Publish(Commands& aCommands);

  NodeOptions options_;
  state::EndpointRecord self_;
  state::EndpointTable table_;
  CrashGuard crashGuard_;
  std::map<std::string, state::Instant> lastHeard_;
  state::ConfigurationPointer configuration_;
  std::uint64_t revision_ = 0;
  std::uint64_t nextCall_ = 1;
  std::uint64_t watchCall_ = 0;
  std::uint64_t applyCall_ = 0;
  ApplyRequested apply_{};
  state::Instant nextWatch_{ 0 };
  state::Instant nextAnnouncement_{ 0 };
  bool storeReachable_ = false;
  bool dirty_ = true;
};

} // namespace teaselhold::coordination
