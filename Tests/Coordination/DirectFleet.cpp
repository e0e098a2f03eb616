#include "DirectFleet.h"

#include "Coordination/ReaderSelection.h"
#include "admin.pb.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

using namespace std::chrono_literals;

constexpr state::Duration kStep = 10ms;
constexpr state::Duration kTickInterval = 100ms;
constexpr state::Duration kLeaseDuration = 9s;
/// When a call without an answer ends: by its timeout, and a watch by the
/// kernel's probes of its connection.
constexpr state::Duration kCallTimeout = 1s;
constexpr state::Duration kWatchTimeout = 3s;
/// What the client allows an answer beyond the wait of its watch.
constexpr state::Duration kWatchGrace = 2s;
/// What a full link adds to an answer.
constexpr state::Duration kLateAnswer = 1200ms;
/// A link of 10 Mbit/s.
constexpr std::uint64_t kBytesPerMillisecond = 1250;
/// CPU time for processing the full configuration on a host with a high
/// capacity and on one with a tenth of a core.
constexpr state::Duration kShortFullReadTime = 60ms;
constexpr state::Duration kLongFullReadTime = 300ms;
constexpr std::size_t kHighCapacityHosts = 15;

constexpr std::size_t kReadConnection = 0;
constexpr std::size_t kWriteConnection = 1;
constexpr std::size_t kWatchConnection = 2;

std::size_t
ConnectionOf(const CallStore& aCall)
{
  if (std::holds_alternative<StoreWatch>(aCall.request)) {
    return kWatchConnection;
  }
  const bool isRead =
    std::holds_alternative<StoreGet>(aCall.request) ||
    std::holds_alternative<StoreGetIfChanged>(aCall.request) ||
    std::holds_alternative<StoreList>(aCall.request);
  return isRead ? kReadConnection : kWriteConnection;
}

std::string
NodeName(std::size_t aNode)
{
  return "n" + std::to_string(1000 + aNode);
}

NodeOptions
MakeOptions(std::size_t aNode, state::Duration aBound, std::uint64_t aSeed)
{
  constexpr std::size_t kDataCentres = 5;
  const auto dataCentre = "dc" + std::to_string(aNode % kDataCentres);
  NodeOptions options;
  options.identity.name = NodeName(aNode);
  options.identity.incarnation = 1;
  options.identity.service = "visits";
  options.identity.dataCentre = dataCentre;
  options.identity.region = "one";
  options.identity.dataAddress = "10.0.0.1:" + std::to_string(1000 + aNode);
  options.identity.capacity = aNode < kHighCapacityHosts ? 50 : 1;
  options.applyBound = aBound;
  options.randomSeed = aSeed * 1000003 + aNode;
  return options;
}

/// Varies the time by host, so that readers skip different versions.
state::Duration
FullReadTime(std::size_t aNode)
{
  constexpr std::size_t kReadTimeVariants = 7;
  const auto time =
    aNode < kHighCapacityHosts ? kShortFullReadTime : kLongFullReadTime;
  return time + time * (aNode % kReadTimeVariants) / kReadTimeVariants;
}

} // namespace

DirectFleet::DirectFleet(std::size_t aNodes,
                         state::Duration aBound,
                         std::uint64_t aSeed,
                         state::Generation aGeneration,
                         std::string_view aText)
{
  WriteVersion(aGeneration, aText);
  for (std::size_t i = 0; i < aNodes; ++i) {
    nodes_.emplace_back();
    nodes_.back().core =
      std::make_unique<DirectCore>(MakeOptions(i, aBound, aSeed));
    nodes_.back().nextTick = now_ + kStep * (i % 10);
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    Handle(i, Started{});
    Handle(i,
           UpstreamChanged{
             state::EndpointState::Ready,
             state::UpstreamIdentity{ "i-" + NodeName(i), 7, 1, 12 } });
  }
}

void
DirectFleet::Handle(std::size_t aNode, const Event& aEvent)
{
  auto& node = nodes_[aNode];
  for (auto& command : node.core->Handle(aEvent, now_)) {
    if (auto* call = std::get_if<CallStore>(&command)) {
      Submit(aNode, std::move(*call));
    } else if (const auto* ask = std::get_if<AskReader>(&command)) {
      AskReaderRole(aNode, *ask);
    } else if (const auto* changes = std::get_if<SetRecentChanges>(&command)) {
      node.changes = changes->changes;
    } else if (const auto* question = std::get_if<AskChanges>(&command)) {
      changesQuestions_.push_back({ aNode, *question, now_ });
    } else if (const auto* check = std::get_if<ShareCheck>(&command)) {
      node.checked = std::max(node.checked, check->time);
    } else if (const auto* publish = std::get_if<PublishSnapshot>(&command)) {
      const auto& configuration = publish->snapshot->configuration;
      if (configuration != nullptr) {
        RecordInForce(aNode, configuration->GetGeneration());
      }
    }
  }
}

void
DirectFleet::RecordInForce(std::size_t aNode, state::Generation aGeneration)
{
  auto& inForce = nodes_[aNode].inForce;
  for (const auto& version : versions_) {
    if (inForce != 0 && version.generation > inForce &&
        version.generation <= aGeneration) {
      const auto since = std::max(version.written, nodes_[aNode].resumed);
      worstLag_ = std::max(worstLag_, now_ - since);
    }
  }
  inForce = aGeneration;
}

void
DirectFleet::Submit(std::size_t aNode, CallStore aCall)
{
  const auto connection = ConnectionOf(aCall);
  if (connection == kWatchConnection) {
    EndWatch(aNode);
  }
  nodes_[aNode].connections[connection].waiting.push_back(std::move(aCall));
  StartNext(aNode, connection);
}

void
DirectFleet::EndWatch(std::size_t aNode)
{
  auto& connection = nodes_[aNode].connections[kWatchConnection];
  if (connection.running && connection.end != state::Instant{ 0 }) {
    connection.end = state::Instant{ 0 };
    answers_.emplace(
      now_,
      Answer{ aNode,
              kWatchConnection,
              protocol::StoreError{ protocol::StoreErrorCode::Cancelled,
                                    "the call was ended" } });
  }
}

void
DirectFleet::SilenceWatches(double aShare)
{
  const auto count =
    static_cast<std::size_t>(aShare * static_cast<double>(nodes_.size()));
  for (std::size_t i = 0; i < count; ++i) {
    auto& connection = nodes_[i].connections[kWatchConnection];
    if (connection.running && connection.end != state::Instant{ 0 }) {
      connection.isSilent = true;
      connection.end += kWatchGrace;
    }
  }
}

std::size_t
DirectFleet::SilentWatches() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(nodes_, [](const Node& aNode) {
      const auto& connection = aNode.connections[kWatchConnection];
      return connection.isSilent && connection.end != state::Instant{ 0 };
    }));
}

void
DirectFleet::StartNext(std::size_t aNode, std::size_t aConnection)
{
  auto& connection = nodes_[aNode].connections[aConnection];
  if (connection.running || connection.waiting.empty()) {
    return;
  }
  connection.running = std::move(connection.waiting.front());
  connection.waiting.pop_front();
  connection.end = state::Instant{ 0 };
  connection.isSilent = false;
  const auto* watch = std::get_if<StoreWatch>(&connection.running->request);
  calls_.watches += watch != nullptr ? 1 : 0;
  const bool isFirst =
    watch != nullptr && nodes_[aNode].watched.insert(watch->key).second;
  auto result = Execute(*connection.running, isFirst);
  if (IsLost(aNode, aConnection)) {
    Expire(aNode, aConnection);
  } else if (result) {
    Reply(aNode, aConnection, std::move(*result));
  } else if (watch != nullptr) {
    connection.end = now_ + watch->wait;
  }
}

std::optional<StoreResult>
DirectFleet::Execute(const CallStore& aCall, bool aIsFirst)
{
  if (const auto* get = std::get_if<StoreGet>(&aCall.request)) {
    const auto& stored = values_[get->key];
    return protocol::StoreEntry{ stored.value, stored.revision };
  }
  if (const auto* poll = std::get_if<StoreGetIfChanged>(&aCall.request)) {
    ++calls_.polls;
    const auto& stored = values_[poll->key];
    return stored.revision == poll->knownRevision
             ? protocol::StoreEntry{ "", stored.revision }
             : protocol::StoreEntry{ stored.value, stored.revision };
  }
  if (const auto* watch = std::get_if<StoreWatch>(&aCall.request)) {
    const auto& stored = values_[watch->key];
    // The first watch of a key on a connection is answered at once, like a
    // read.
    if (stored.revision == watch->knownRevision && !aIsFirst) {
      return std::nullopt;
    }
    return protocol::StoreEntry{ stored.value, stored.revision };
  }
  if (const auto* swap = std::get_if<StoreSwap>(&aCall.request)) {
    auto& stored = values_[swap->key];
    calls_.changeWrites += swap->key == protocol::kChangesKey ? 1 : 0;
    const bool isSwapped = stored.revision == swap->expectedRevision;
    if (isSwapped) {
      Put(swap->key, swap->value);
      WakeWatches();
    }
    return protocol::SwapResult{ isSwapped, { stored.value, stored.revision } };
  }
  if (std::holds_alternative<StoreList>(aCall.request)) {
    ++calls_.listings;
    return MakeListing();
  }
  if (std::holds_alternative<StoreGrant>(aCall.request)) {
    return protocol::LeaseId{ 99 };
  }
  return true;
}

DirectFleet::StoredValue&
DirectFleet::Put(const std::string& aKey, std::string aValue)
{
  auto& stored = values_[aKey];
  stored = { std::move(aValue), ++revision_ };
  return stored;
}

protocol::StoreListing
DirectFleet::MakeListing() const
{
  protocol::StoreListing listing;
  listing.revision = revision_;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto key = protocol::kNodePrefix + NodeName(i);
    const auto stored = values_.find(key);
    if (stored != values_.end() && stored->second.revision != 0 &&
        now_ < nodes_[i].leaseExpiry) {
      listing.items.push_back(
        { key, stored->second.value, stored->second.revision });
    }
  }
  return listing;
}

void
DirectFleet::Reply(std::size_t aNode,
                   std::size_t aConnection,
                   StoreResult aResult)
{
  auto delay = kLatency;
  if (const auto* entry = std::get_if<protocol::StoreEntry>(&aResult)) {
    delay +=
      std::chrono::milliseconds(entry->value.size() / kBytesPerMillisecond);
    const bool isFullRead =
      entry->revision != 0 && !entry->value.empty() &&
      entry->revision == values_[protocol::kConfigurationKey].revision;
    calls_.fullReads += isFullRead ? 1 : 0;
    delay += isFullRead ? FullReadTime(aNode) : state::Duration{ 0 };
  }
  const bool isLate =
    harmed_ && harmed_->node == aNode && harmed_->fault == StoreFault::Late;
  delay += isLate ? kLateAnswer : state::Duration{ 0 };
  answers_.emplace(now_ + delay,
                   Answer{ aNode, aConnection, std::move(aResult) });
}

bool
DirectFleet::IsLost(std::size_t aNode, std::size_t aConnection) const
{
  if (!harmed_ || harmed_->node != aNode) {
    return false;
  }
  const bool isWatch = aConnection == kWatchConnection;
  switch (harmed_->fault) {
    case StoreFault::WatchesLost:
      return isWatch;
    case StoreFault::Lost:
      return true;
    case StoreFault::Late:
      return !isWatch;
  }
  return false;
}

void
DirectFleet::Expire(std::size_t aNode, std::size_t aConnection)
{
  const auto timeout =
    aConnection == kWatchConnection ? kWatchTimeout : kCallTimeout;
  answers_.emplace(
    now_ + timeout,
    Answer{ aNode,
            aConnection,
            protocol::StoreError{ protocol::StoreErrorCode::Unknown, "" } });
}

void
DirectFleet::HarmStore(StoreFault aFault, bool aIsReader)
{
  const auto node = LastNode(aIsReader);
  harmed_ = { node, aFault };
  auto& watch = nodes_[node].connections[kWatchConnection];
  if (IsLost(node, kWatchConnection) && watch.running &&
      watch.end != state::Instant{ 0 }) {
    watch.end = state::Instant{ 0 };
    Expire(node, kWatchConnection);
  }
}

void
DirectFleet::Suspend(state::Duration aTime)
{
  nodes_[LastNode(false)].resumed = now_ + aTime;
}

std::size_t
DirectFleet::LastNode(bool aIsReader) const
{
  auto node = nodes_.size() - 1;
  while (node > 0 && nodes_[node].core->IsReader() != aIsReader) {
    --node;
  }
  return node;
}

void
DirectFleet::WakeWatches()
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& connection = nodes_[i].connections[kWatchConnection];
    if (!nodes_[i].isAlive || IsLost(i, kWatchConnection) ||
        !connection.running || connection.end == state::Instant{ 0 } ||
        connection.isSilent) {
      continue;
    }
    const auto& watch = std::get<StoreWatch>(connection.running->request);
    const auto& stored = values_[watch.key];
    if (stored.revision != watch.knownRevision) {
      connection.end = state::Instant{ 0 };
      Reply(i,
            kWatchConnection,
            protocol::StoreEntry{ stored.value, stored.revision });
    }
  }
}

void
DirectFleet::WriteVersion(state::Generation aGeneration, std::string_view aText)
{
  WriteUnseenVersion(aGeneration, aText);
  WakeWatches();
}

void
DirectFleet::WriteUnseenVersion(state::Generation aGeneration,
                                std::string_view aText)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_text(std::string(aText));
  Put(protocol::kConfigurationKey, stored.SerializeAsString());
  versions_.push_back({ aGeneration, now_ });
}

void
DirectFleet::Run(state::Duration aTime)
{
  for (const auto end = now_ + aTime; now_ < end;) {
    now_ += kStep;
    HearFromPeers();
    AnswerQuestions();
    AnswerChangesQuestions();
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      auto answer = std::move(answers_.begin()->second);
      answers_.erase(answers_.begin());
      if (!nodes_[answer.node].isAlive) {
        continue;
      }
      if (IsSuspended(nodes_[answer.node])) {
        answers_.emplace(nodes_[answer.node].resumed, std::move(answer));
        continue;
      }
      auto& connection = nodes_[answer.node].connections[answer.connection];
      const auto call = connection.running->call;
      connection.running.reset();
      StartNext(answer.node, answer.connection);
      Handle(answer.node, StoreAnswered{ call, std::move(answer.result) });
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      auto& node = nodes_[i];
      if (!node.isAlive || IsSuspended(node)) {
        continue;
      }
      auto& connection = node.connections[kWatchConnection];
      if (connection.running && connection.end != state::Instant{ 0 } &&
          now_ >= connection.end) {
        EndWait(i);
      }
      if (now_ >= node.nextTick) {
        node.nextTick = now_ + kTickInterval;
        Handle(i, Tick{});
      }
    }
  }
}

void
DirectFleet::EndWait(std::size_t aNode)
{
  auto& connection = nodes_[aNode].connections[kWatchConnection];
  connection.end = state::Instant{ 0 };
  const auto& watch = std::get<StoreWatch>(connection.running->request);
  if (connection.isSilent) {
    Reply(aNode,
          kWatchConnection,
          protocol::StoreError{ protocol::StoreErrorCode::Unknown, "" });
    return;
  }
  Reply(
    aNode, kWatchConnection, protocol::StoreEntry{ "", watch.knownRevision });
}

void
DirectFleet::Kill(Node& aNode)
{
  aNode.isAlive = false;
  aNode.leaseExpiry = now_ + kLeaseDuration;
}

std::size_t
DirectFleet::KillReaders()
{
  std::size_t killed = 0;
  for (auto& node : nodes_) {
    if (node.isAlive && node.core->IsReader()) {
      Kill(node);
      ++killed;
    }
  }
  return killed;
}

void
DirectFleet::KillShareWithReaders(double aShare)
{
  auto left =
    static_cast<std::size_t>(aShare * static_cast<double>(nodes_.size())) -
    KillReaders();
  for (auto& node : nodes_) {
    if (node.isAlive && left > 0) {
      Kill(node);
      --left;
    }
  }
}

state::Duration
DirectFleet::WorstLag() const
{
  auto worst = worstLag_;
  for (const auto& node : nodes_) {
    for (const auto& version : versions_) {
      if (node.isAlive && version.generation > node.inForce) {
        const auto since = std::max(version.written, node.resumed);
        worst = std::max(worst, now_ - since);
      }
    }
  }
  return worst;
}

void
DirectFleet::ResetCounts()
{
  calls_ = {};
  worstLag_ = state::Duration{ 0 };
}

} // namespace teaselhold::coordination
