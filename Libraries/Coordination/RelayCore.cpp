#include "Coordination/RelayCore.h"

namespace teaselhold::coordination {

namespace {

/// A tick arrives every 100 ms. A longer gap between two events means that this
/// process was suspended or starved.
constexpr state::Duration kMaxEventGap = std::chrono::seconds(1);

/// @return nullptr if the message carries no head.
const wire::Head*
FindHead(const wire::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kAttach:
      return &aEnvelope.attach().head();
    case wire::Envelope::kAttachAnswer:
      return &aEnvelope.attach_answer().head();
    case wire::Envelope::kHeartbeat:
      return &aEnvelope.heartbeat().head();
    case wire::Envelope::kHeartbeatAnswer:
      // The head is absent if the relay only asks the leaf to attach again.
      return aEnvelope.heartbeat_answer().has_head()
               ? &aEnvelope.heartbeat_answer().head()
               : nullptr;
    case wire::Envelope::kProbe:
      return &aEnvelope.probe().head();
    case wire::Envelope::kProbeAnswer:
      return &aEnvelope.probe_answer().head();
    case wire::Envelope::kRelayExchange:
      return &aEnvelope.relay_exchange().head();
    default:
      return nullptr;
  }
}

} // namespace

RelayCore::RelayCore(NodeOptions aOptions)
  : options_(std::move(aOptions))
  , endpoints_(options_.identity, options_.randomSeed + 1)
  , membership_(options_, endpoints_)
  , status_(endpoints_, membership_)
  , distribution_(options_.identity, options_.randomSeed + 2)
  , reader_(options_.identity,
            options_.randomSeed + 3,
            callNumbers_,
            distribution_)
  , applyCoordinator_(options_.randomSeed + 4, callNumbers_, distribution_)
  , crashes_(options_.randomSeed + 5)
{
}

Commands
RelayCore::Handle(const Event& aEvent, state::Instant aNow)
{
  Commands commands;
  const auto head = distribution_.Head();
  const StepContext step{ aNow, head, commands };
  if (isStarted_ && aNow - lastEventTime_ > kMaxEventGap) {
    AddLog(commands,
           LogLevel::Warning,
           "membership",
           "This node was paused. microseconds=" +
             std::to_string((aNow - lastEventTime_).count()));
    membership_.OnEventLoopLate(step);
  }
  lastEventTime_ = aNow;
  if (std::holds_alternative<Started>(aEvent)) {
    isStarted_ = true;
    membership_.Start(step);
  } else if (const auto* message = std::get_if<MessageReceived>(&aEvent)) {
    OnMessage(message->envelope, step);
  } else if (const auto* change = std::get_if<UpstreamChanged>(&aEvent)) {
    OnUpstreamChanged(change->state, step);
  } else if (std::holds_alternative<StatusRequested>(aEvent)) {
    status_.RequestSummaries(step);
  } else if (const auto* answer = std::get_if<StoreAnswered>(&aEvent)) {
    const auto& peers = membership_.Peers();
    if (!reader_.OnStoreAnswer(*answer, peers, aNow, commands)) {
      applyCoordinator_.OnStoreAnswer(*answer, peers, aNow, commands);
    }
  } else if (const auto* apply = std::get_if<ApplyRequested>(&aEvent)) {
    applyCoordinator_.OnApply(*apply, membership_.Peers(), aNow, commands);
  } else if (const auto* crash = std::get_if<CrashObserved>(&aEvent)) {
    crashes_.Add(crash->fingerprint,
                 options_.identity.name,
                 endpoints_.Self().incarnation,
                 aNow);
  } else if (std::holds_alternative<Tick>(aEvent)) {
    OnTick(step);
  }
  UpdateConfiguration();
  endpoints_.FlushUrgent(membership_.Peers(), commands);
  crashes_.Flush(membership_.Peers(), commands);
  PublishIfChanged(commands);
  SetSender(commands);
  return commands;
}

void
RelayCore::OnMessage(const wire::Envelope& aEnvelope, const StepContext& aStep)
{
  if (aEnvelope.from_node() == options_.identity.name) {
    return;
  }
  membership_.OnAnyMessage(aEnvelope, aStep);
  membership_.OnMessage(aEnvelope, aStep);
  endpoints_.OnMessage(aEnvelope, aStep);
  status_.OnMessage(aEnvelope, Version(), aStep);
  OnHeadReceived(aEnvelope, aStep);
  distribution_.OnMessage(
    aEnvelope, membership_.Peers(), aStep.now, aStep.commands);
  reader_.OnMessage(aEnvelope, aStep.now);
  if (aEnvelope.has_crash_report()) {
    const auto& report = aEnvelope.crash_report();
    crashes_.Add(
      report.fingerprint(), report.node(), report.incarnation(), aStep.now);
  }
}

void
RelayCore::OnHeadReceived(const wire::Envelope& aEnvelope,
                          const StepContext& aStep)
{
  const auto* head = FindHead(aEnvelope);
  if (head == nullptr) {
    return;
  }
  const auto [sender, isRelay] = membership_.Sender(aEnvelope);
  distribution_.OnHead(
    sender, isRelay, *head, membership_.Peers(), aStep.now, aStep.commands);
}

void
RelayCore::OnTick(const StepContext& aStep)
{
  membership_.Tick(aStep);
  const auto& peers = membership_.Peers();
  endpoints_.Tick(peers, aStep);
  distribution_.Tick(peers, aStep.now, aStep.commands);
  reader_.Tick(peers, aStep.now, aStep.commands);
  applyCoordinator_.Tick(peers, aStep.now, aStep.commands);
  crashes_.Tick(peers, aStep.now, aStep.commands);
  status_.Tick(Version(), aStep);
}

void
RelayCore::OnUpstreamChanged(state::EndpointState aState,
                             const StepContext& aStep)
{
  endpoints_.SetState(aState, aStep.now);
  if (aState == state::EndpointState::Gone) {
    membership_.OnLeaving(aStep);
  }
  membership_.Tick(aStep);
}

void
RelayCore::UpdateConfiguration()
{
  membership_.SetRefusal(distribution_.RefusedGeneration(),
                         distribution_.RefusedReason());
  if (distribution_.Active() == configuration_) {
    return;
  }
  configuration_ = distribution_.Active();
  isPublishDue_ = true;
  const auto reach = configuration_->Reach(options_.identity.service);
  if (endpoints_.SetReach({ reach.begin(), reach.end() })) {
    membership_.OnReachChanged();
  }
}

void
RelayCore::PublishIfChanged(Commands& aCommands)
{
  const bool isReachableChanged = endpoints_.TakeReachableChanged();
  const bool isQuarantineChanged = crashes_.TakeChanged();
  if (!isReachableChanged && !isQuarantineChanged && !isPublishDue_) {
    return;
  }
  isPublishDue_ = false;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = configuration_;
  snapshot->endpoints = endpoints_.Reachable();
  snapshot->quarantined = crashes_.Quarantined();
  aCommands.push_back(PublishSnapshot{ std::move(snapshot) });
}

void
RelayCore::SetSender(Commands& aCommands) const
{
  for (auto& command : aCommands) {
    if (auto* send = std::get_if<SendMessage>(&command)) {
      send->envelope.set_from_node(options_.identity.name);
      send->envelope.set_from_incarnation(endpoints_.Self().incarnation);
      send->envelope.set_from_address(options_.identity.controlAddress);
    }
  }
}

OwnVersions
RelayCore::Version() const
{
  OwnVersions version;
  version.activeGeneration =
    configuration_ == nullptr ? 0 : configuration_->GetGeneration();
  version.refusedGeneration = distribution_.RefusedGeneration();
  version.refusedReason = distribution_.RefusedReason();
  return version;
}

FleetStatus
RelayCore::Status() const
{
  FleetStatus status;
  status.storeReachable = reader_.IsStoreReachable();
  status.storeGeneration = reader_.StoreGeneration();
  status.highestGeneration = distribution_.Held().generation();
  status.alarms = distribution_.Alarms();
  status.nodes = status_.Nodes(Version());
  return status;
}

} // namespace teaselhold::coordination
