#include "Coordination/DirectCore.h"

#include "Coordination/EndpointCodec.h"
#include "Protocol/ConfigurationText.h"
#include "admin.pb.h"

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr state::Duration kSilenceLimit = std::chrono::seconds(3);
constexpr state::Duration kWatchRetryDelay = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kWatchWait{ 10000 };

} // namespace

DirectCore::DirectCore(NodeOptions aOptions)
  : options_(std::move(aOptions))
{
  const auto& identity = options_.identity;
  self_.node = identity.name;
  self_.incarnation = identity.incarnation;
  self_.sequence = 1;
  self_.service = identity.service;
  self_.dataCentre = identity.dataCentre;
  self_.region = identity.region;
  self_.dataAddress = identity.dataAddress;
  self_.controlAddress = identity.controlAddress;
  self_.slots = identity.slots;
  table_.Merge(self_);
}

Commands
DirectCore::Handle(const Event& aEvent, state::Instant aNow)
{
  Commands commands;
  if (const auto* message = std::get_if<MessageReceived>(&aEvent)) {
    OnMessage(message->envelope, aNow);
  } else if (const auto* answer = std::get_if<StoreAnswered>(&aEvent)) {
    OnStoreAnswer(*answer, commands);
    nextWatch_ =
      aNow + (storeReachable_ ? state::Duration{ 0 } : kWatchRetryDelay);
  } else if (const auto* change = std::get_if<UpstreamChanged>(&aEvent)) {
    self_.state = change->state;
    ++self_.sequence;
    dirty_ = table_.Merge(self_) || dirty_;
    Announce(commands);
  } else if (const auto* crash = std::get_if<CrashObserved>(&aEvent)) {
    OnCrash(crash->fingerprint, aNow, commands);
  } else if (const auto* apply = std::get_if<ApplyRequested>(&aEvent)) {
    OnApply(*apply, commands);
  }
  OnTick(aNow, commands);
  if (dirty_) {
    Publish(commands);
  }
  return commands;
}

void
DirectCore::OnTick(state::Instant aNow, Commands& aCommands)
{
  if (watchCall_ == 0 && aNow >= nextWatch_) {
    Watch(aCommands);
  }
  if (aNow >= nextAnnouncement_) {
    nextAnnouncement_ = aNow + kAnnounceInterval;
    Announce(aCommands);
  }
  dirty_ = crashGuard_.Expire(aNow) || dirty_;
  for (const auto& [node, heard] : lastHeard_) {
    const auto* record = table_.Find(node);
    if (aNow - heard > kSilenceLimit && record != nullptr &&
        record->state != state::EndpointState::Down) {
      auto down = *record;
      down.state = state::EndpointState::Down;
      dirty_ = table_.Merge(down) || dirty_;
    }
  }
}

void
DirectCore::OnCrash(std::uint64_t aFingerprint,
                    state::Instant aNow,
                    Commands& aCommands)
{
  dirty_ =
    crashGuard_.Report(aFingerprint, self_.node, self_.incarnation, aNow) ||
    dirty_;
  wire::Envelope envelope;
  auto& report = *envelope.mutable_crash_report();
  report.set_fingerprint(aFingerprint);
  report.set_node(self_.node);
  report.set_incarnation(self_.incarnation);
  SendToSeeds(std::move(envelope), aCommands);
}

void
DirectCore::OnMessage(const wire::Envelope& aEnvelope, state::Instant aNow)
{
  if (aEnvelope.has_crash_report()) {
    const auto& report = aEnvelope.crash_report();
    dirty_ =
      crashGuard_.Report(
        report.fingerprint(), report.node(), report.incarnation(), aNow) ||
      dirty_;
  }
  for (const auto& endpoint : aEnvelope.endpoint_delta().endpoints()) {
    auto record = FromWire(endpoint);
    if (record.node == self_.node) {
      continue;
    }
    lastHeard_[record.node] = aNow;
    const auto* known = table_.Find(record.node);
    // A node that was marked down and still announces itself is up again.
    if (known != nullptr && known->state == state::EndpointState::Down &&
        record.state != state::EndpointState::Down &&
        record.incarnation >= known->incarnation) {
      table_.Erase(record.node);
    }
    dirty_ = table_.Merge(record) || dirty_;
  }
}

void
DirectCore::OnStoreAnswer(const StoreAnswered& aAnswer, Commands& aCommands)
{
  if (aAnswer.call == applyCall_) {
    applyCall_ = 0;
    OnSwapAnswer(aAnswer.result, aCommands);
    return;
  }
  if (aAnswer.call != watchCall_) {
    return;
  }
  watchCall_ = 0;
  const auto* entry = std::get_if<protocol::StoreEntry>(&aAnswer.result);
  storeReachable_ = entry != nullptr;
  if (entry != nullptr) {
    OnConfiguration(*entry, aCommands);
  }
}

void
DirectCore::OnConfiguration(const protocol::StoreEntry& aEntry,
                            Commands& aCommands)
{
  revision_ = aEntry.revision;
  wire::StoredConfiguration stored;
  if (aEntry.value.empty() || !stored.ParseFromString(aEntry.value)) {
    return;
  }
  if (configuration_ != nullptr &&
      stored.generation() <= configuration_->GetGeneration()) {
    return;
  }
  auto compiled =
    protocol::CompileConfiguration(stored.text(), stored.generation());
  if (!compiled) {
    aCommands.push_back(WriteLog{
      LogLevel::Warning,
      "config",
      "Version refused. generation=" + std::to_string(stored.generation()) +
        " reason=" + protocol::FormatErrors("text", compiled.error()) });
    return;
  }
  configuration_ = std::move(*compiled);
  dirty_ = true;
  aCommands.push_back(WriteLog{ LogLevel::Info,
                                "config",
                                "Version in force. generation=" +
                                  std::to_string(stored.generation()) });
}

void
DirectCore::OnApply(const ApplyRequested& aRequest, Commands& aCommands)
{
  const auto current =
    configuration_ == nullptr ? 0 : configuration_->GetGeneration();
  auto compiled = protocol::CompileConfiguration(aRequest.text, current + 1);
  if (!compiled) {
    aCommands.push_back(
      FinishApply{ aRequest.id,
                   ApplyOutcome::Refused,
                   current,
                   protocol::FormatErrors("text", compiled.error()),
                   "" });
    return;
  }
  if (applyCall_ != 0) {
    aCommands.push_back(FinishApply{ aRequest.id,
                                     ApplyOutcome::NotApplied,
                                     current,
                                     "another apply is in progress",
                                     "" });
    return;
  }
  apply_ = aRequest;
  applyCall_ = nextCall_++;
  wire::StoredConfiguration stored;
  stored.set_generation(current + 1);
  stored.set_digest((*compiled)->Digest());
  stored.set_text(aRequest.text);
  stored.set_apply_id(aRequest.applyId);
  aCommands.push_back(CallStore{ applyCall_,
                                 StoreSwap{ protocol::kConfigurationKey,
                                            revision_,
                                            stored.SerializeAsString(),
                                            0 } });
}

void
DirectCore::OnSwapAnswer(const StoreResult& aResult, Commands& aCommands)
{
  FinishApply finish{ apply_.id, ApplyOutcome::Unknown, 0, "", "" };
  if (const auto* swap = std::get_if<protocol::SwapResult>(&aResult)) {
    wire::StoredConfiguration stored;
    stored.ParseFromString(swap->current.value);
    finish.generation = stored.generation();
    finish.outcome =
      swap->swapped ? ApplyOutcome::Accepted : ApplyOutcome::Conflict;
    finish.currentText = swap->swapped ? "" : stored.text();
    if (swap->swapped) {
      aCommands.push_back(WriteLog{ LogLevel::Info,
                                    "apply",
                                    "Accepted. generation=" +
                                      std::to_string(stored.generation()) });
    }
    OnConfiguration(swap->current, aCommands);
  } else if (const auto* error = std::get_if<protocol::StoreError>(&aResult)) {
    finish.outcome = error->code == protocol::StoreErrorCode::Unknown
                       ? ApplyOutcome::Unknown
                       : ApplyOutcome::NotApplied;
    finish.message = error->message;
  }
  aCommands.push_back(std::move(finish));
}

void
DirectCore::Watch(Commands& aCommands)
{
  watchCall_ = nextCall_++;
  aCommands.push_back(CallStore{
    watchCall_,
    StoreWatch{ protocol::kConfigurationKey, revision_, kWatchWait } });
}

void
DirectCore::Announce(Commands& aCommands) const
{
  wire::Envelope envelope;
  *envelope.mutable_endpoint_delta()->add_endpoints() = ToWire(self_);
  SendToSeeds(std::move(envelope), aCommands);
}

void
DirectCore::SendToSeeds(wire::Envelope aEnvelope, Commands& aCommands) const
{
  aEnvelope.set_from_node(self_.node);
  aEnvelope.set_from_incarnation(self_.incarnation);
  aEnvelope.set_from_address(self_.controlAddress);
  for (const auto& seed : options_.seeds) {
    if (seed != self_.controlAddress) {
      aCommands.push_back(SendMessage{ seed, aEnvelope });
    }
  }
}

void
DirectCore::Publish(Commands& aCommands)
{
  dirty_ = false;
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = configuration_;
  snapshot->endpoints = std::make_shared<state::EndpointTable>(table_);
  snapshot->quarantined = crashGuard_.Quarantined();
  aCommands.push_back(PublishSnapshot{ std::move(snapshot) });
}

FleetStatus
DirectCore::Status() const
{
  FleetStatus status;
  status.storeReachable = storeReachable_;
  const auto generation =
    configuration_ == nullptr ? 0 : configuration_->GetGeneration();
  status.storeGeneration = generation;
  status.highestGeneration = generation;
  status.nodes.push_back({ self_.node,
                           self_.service,
                           self_.dataCentre,
                           self_.state,
                           "direct",
                           generation,
                           0,
                           "" });
  return status;
}

} // namespace teaselhold::coordination
