#include "Coordination/NodeCore.h"

namespace teaselhold::coordination {

namespace {

/// A tick arrives every 100 ms; after a longer silence this node was paused.
constexpr state::Duration kMaxLoopDelay = std::chrono::seconds(1);

NodeOptions
WithoutSeeds(NodeOptions aOptions)
{
  aOptions.seeds.clear();
  return aOptions;
}

} // namespace

NodeCore::NodeCore(NodeOptions aOptions)
  : options_(std::move(aOptions))
  , endpoints_(options_.identity, options_.randomSeed + 1)
  , membership_(options_, endpoints_)
  , status_(endpoints_, membership_)
  , storeWatch_(WithoutSeeds(options_))
{
}

Commands
NodeCore::Handle(const Event& aEvent, state::Instant aNow)
{
  Commands commands;
  const wire::Head head;
  const Step step{ aNow, head, commands };
  if (isStarted_ && aNow - lastEvent_ > kMaxLoopDelay) {
    AddLog(commands,
           LogLevel::Warning,
           "membership",
           "This node was paused. microseconds=" +
             std::to_string((aNow - lastEvent_).count()));
    membership_.OnLate(step);
  }
  lastEvent_ = aNow;
  UseConfiguration(aEvent, step);
  if (std::holds_alternative<Started>(aEvent)) {
    isStarted_ = true;
    membership_.Start(step);
  } else if (const auto* message = std::get_if<MessageReceived>(&aEvent)) {
    OnMessage(message->envelope, step);
  } else if (const auto* change = std::get_if<UpstreamChanged>(&aEvent)) {
    OnUpstreamChanged(change->state, step);
  } else if (std::holds_alternative<StatusRequested>(aEvent)) {
    status_.OnRequested(step);
  } else if (std::holds_alternative<Tick>(aEvent)) {
    membership_.Tick(step);
    endpoints_.Tick(membership_.Peers(), step);
  }
  endpoints_.FlushUrgent(membership_.Peers(), commands);
  Publish(commands);
  Stamp(commands);
  return commands;
}

void
NodeCore::OnMessage(const wire::Envelope& aEnvelope, const Step& aStep)
{
  if (aEnvelope.from_node() == options_.identity.name) {
    return;
  }
  membership_.OnHeard(aEnvelope, aStep);
  membership_.OnMessage(aEnvelope, aStep);
  endpoints_.OnMessage(aEnvelope, aStep);
  status_.OnMessage(aEnvelope, Version(), aStep);
}

void
NodeCore::OnUpstreamChanged(state::EndpointState aState, const Step& aStep)
{
  endpoints_.SetState(aState, aStep.now);
  if (aState == state::EndpointState::Gone) {
    membership_.OnLeaving(aStep);
  }
  membership_.Tick(aStep);
}

void
NodeCore::UseConfiguration(const Event& aEvent, const Step& aStep)
{
  if (std::holds_alternative<MessageReceived>(aEvent) ||
      std::holds_alternative<UpstreamChanged>(aEvent)) {
    return;
  }
  for (auto& command : storeWatch_.Handle(aEvent, aStep.now)) {
    if (const auto* publish = std::get_if<PublishSnapshot>(&command)) {
      if (publish->snapshot->configuration != configuration_) {
        configuration_ = publish->snapshot->configuration;
        isPublishDue_ = true;
        const auto reach = configuration_->Reach(options_.identity.service);
        if (endpoints_.SetReach({ reach.begin(), reach.end() })) {
          membership_.OnReachChanged();
        }
      }
      continue;
    }
    aStep.commands.push_back(std::move(command));
  }
}

void
NodeCore::Publish(Commands& aCommands)
{
  if (!endpoints_.TakeReachableChanged() && !isPublishDue_) {
    return;
  }
  isPublishDue_ = false;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = configuration_;
  snapshot->endpoints = endpoints_.Reachable();
  aCommands.push_back(PublishSnapshot{ std::move(snapshot) });
}

void
NodeCore::Stamp(Commands& aCommands) const
{
  for (auto& command : aCommands) {
    if (auto* send = std::get_if<SendMessage>(&command)) {
      send->envelope.set_from_node(options_.identity.name);
      send->envelope.set_from_incarnation(endpoints_.Self().incarnation);
      send->envelope.set_from_address(options_.identity.controlAddress);
    }
  }
}

OwnVersion
NodeCore::Version() const
{
  OwnVersion version;
  version.activeGeneration =
    configuration_ == nullptr ? 0 : configuration_->GetGeneration();
  return version;
}

FleetStatus
NodeCore::Status() const
{
  auto status = storeWatch_.Status();
  status.nodes = status_.Nodes(Version());
  return status;
}

} // namespace teaselhold::coordination
