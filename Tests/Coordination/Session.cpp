#include "Tests/Coordination/Session.h"

#include "Protocol/ConfigurationText.h"
#include "admin.pb.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace teaselhold::tests {

using namespace coordination;

namespace {

constexpr state::Duration kStep = std::chrono::milliseconds(10);
constexpr state::Duration kTick = std::chrono::milliseconds(100);
constexpr state::Duration kTransit = std::chrono::milliseconds(1);
constexpr state::Duration kMaxLateTransit = std::chrono::milliseconds(300);
/// IPv4 and UDP headers.
constexpr std::uint64_t kHeaderBytes = 28;

std::string
StateName(state::EndpointState aState)
{
  return std::string(state::FindEnumName(state::kEndpointStateNames, aState));
}

} // namespace

Session::Session(std::uint64_t aSeed)
  : random_(aSeed)
{
}

void
Session::Add(const std::string& aName,
             const std::string& aService,
             const std::string& aDataCentre,
             const std::string& aRegion)
{
  auto node = std::make_unique<Node>();
  auto& identity = node->options.identity;
  identity.name = aName;
  identity.service = aService;
  identity.dataCentre = aDataCentre;
  identity.region = aRegion;
  identity.controlAddress = "10.0.0.1:" + std::to_string(20000 + nodes_.size());
  identity.dataAddress = "10.0.0.1:" + std::to_string(30000 + nodes_.size());
  identity.slots = 12;
  nodesByAddress_[identity.controlAddress] = aName;
  nodes_[aName] = std::move(node);
}

void
Session::SetSeeds(std::vector<std::string> aNames)
{
  seeds_.clear();
  for (const auto& name : aNames) {
    seeds_.push_back(At(name).options.identity.controlAddress);
  }
}

void
Session::Start(const std::string& aName)
{
  auto& node = At(aName);
  node.options.seeds = seeds_;
  node.options.identity.incarnation = 1000 + (now_.count() / 1000);
  node.options.randomSeed = random_.Next();
  node.core = std::make_unique<RelayCore>(node.options);
  node.snapshot = nullptr;
  node.isPaused = false;
  node.upstream = state::EndpointState::Ready;
  Post(aName, Started{});
  Post(aName, UpstreamChanged{ state::EndpointState::Ready });
}

void
Session::StartAll()
{
  for (const auto& name : Names()) {
    Start(name);
  }
}

void
Session::Kill(const std::string& aName)
{
  At(aName).core.reset();
}

void
Session::Pause(const std::string& aName)
{
  At(aName).isPaused = true;
}

void
Session::Resume(const std::string& aName)
{
  auto& node = At(aName);
  if (node.isPaused) {
    node.isPaused = false;
    Post(aName, UpstreamChanged{ node.upstream });
  }
}

void
Session::SetUpstream(const std::string& aName, state::EndpointState aState)
{
  At(aName).upstream = aState;
  Post(aName, UpstreamChanged{ aState });
}

void
Session::Post(const std::string& aName, const Event& aEvent)
{
  auto& node = At(aName);
  if (node.core != nullptr && !node.isPaused) {
    Execute(node, node.core->Handle(aEvent, now_));
  }
}

void
Session::Accept(const std::string& aText)
{
  wire::StoredConfiguration stored;
  stored.ParseFromString(store.Entry(protocol::kConfigurationKey).value);
  stored.set_generation(stored.generation() + 1);
  stored.set_digest(state::DigestOfText(aText));
  stored.set_text(aText);
  store.Overwrite(protocol::kConfigurationKey, stored.SerializeAsString());
}

void
Session::Run(state::Duration aDuration)
{
  const auto end = now_ + aDuration;
  while (now_ < end) {
    Step();
  }
}

std::optional<state::Duration>
Session::RunUntil(const std::function<bool()>& aCondition,
                  state::Duration aLimit)
{
  const auto start = now_;
  while (!aCondition()) {
    if (now_ - start >= aLimit) {
      return std::nullopt;
    }
    Step();
  }
  return now_ - start;
}

void
Session::Step()
{
  const auto end = now_ + kStep;
  while (!messages_.empty() && messages_.begin()->first < end) {
    now_ = std::max(now_, messages_.begin()->first);
    const auto message = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    Deliver(message);
  }
  now_ = end;
  for (auto& answer : store.TakeDueAnswers(now_)) {
    Post(answer.node, answer.event);
  }
  std::uint64_t index = 0;
  for (const auto& [name, node] : nodes_) {
    // The nodes tick at different times, as separate processes do.
    const auto phase = kStep * (index++ % (kTick / kStep));
    if ((now_ + phase) % kTick == state::Duration(0)) {
      Post(name, Tick{});
    }
  }
}

void
Session::Execute(Node& aNode, const Commands& aCommands)
{
  const auto& name = aNode.options.identity.name;
  for (const auto& command : aCommands) {
    if (const auto* send = std::get_if<SendMessage>(&command)) {
      Send(aNode, *send);
    } else if (const auto* call = std::get_if<CallStore>(&command)) {
      if (onStoreCall) {
        onStoreCall(name, *call);
      }
      store.Call(name, *call, now_);
    } else if (const auto* publish = std::get_if<PublishSnapshot>(&command)) {
      OnSnapshot(aNode, publish->snapshot);
    } else if (const auto* finish = std::get_if<FinishApply>(&command)) {
      finishedApplies.push_back(*finish);
      Note(
        name + ": apply " +
        std::string(state::FindEnumName(kApplyOutcomeNames, finish->outcome)));
    } else if (const auto* log = std::get_if<WriteLog>(&command)) {
      if (log->level != LogLevel::Debug) {
        Note(name + ": [" + std::string(log->part) + "] " + log->message);
      }
    }
  }
}

void
Session::OnSnapshot(Node& aNode, const RoutingSnapshotPointer& aSnapshot)
{
  aNode.snapshot = aSnapshot;
  const auto generation = aSnapshot->configuration == nullptr
                            ? 0
                            : aSnapshot->configuration->GetGeneration();
  if (generation < aNode.highestActive && generation != 0) {
    reversions.push_back(aNode.options.identity.name);
    Note(aNode.options.identity.name +
         ": activated a lower generation than before");
  }
  aNode.highestActive = std::max(aNode.highestActive, generation);
}

void
Session::Send(Node& aNode, const SendMessage& aSend)
{
  const auto& from = aNode.options.identity.name;
  const auto size = aSend.envelope.ByteSizeLong() + kHeaderBytes;
  ++aNode.messages;
  aNode.bytes += size;
  const auto target = nodesByAddress_.find(aSend.address);
  if (target == nodesByAddress_.end() || random_.NextBelow(100) < lossPercent ||
      (isDropped && isDropped(from, target->second))) {
    return;
  }
  if (chooseFate) {
    if (const auto fate = chooseFate(from, target->second, aSend.envelope)) {
      for (const auto& delay : *fate) {
        messages_.emplace(now_ + kTransit + delay,
                          Message{ from, target->second, aSend.envelope });
      }
      return;
    }
  }
  const unsigned copies = random_.NextBelow(100) < duplicatePercent ? 2 : 1;
  for (unsigned i = 0; i < copies; ++i) {
    const bool isLate = random_.NextBelow(100) < delayPercent;
    const auto transit =
      isLate ? random_.Between(kTransit, kMaxLateTransit) : kTransit;
    messages_.emplace(now_ + transit,
                      Message{ from, target->second, aSend.envelope });
  }
}

void
Session::Deliver(const Message& aMessage)
{
  auto& node = At(aMessage.to);
  if (node.core != nullptr && !node.isPaused) {
    node.bytes += aMessage.envelope.ByteSizeLong() + kHeaderBytes;
    Post(aMessage.to, MessageReceived{ aMessage.envelope });
  }
}

std::vector<std::string>
Session::Names() const
{
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string>
Session::Relays() const
{
  std::vector<std::string> relays;
  for (const auto& [name, node] : nodes_) {
    if (node->core != nullptr && node->core->Peers().isRelay) {
      relays.push_back(name);
    }
  }
  return relays;
}

std::string
Session::SeenState(const std::string& aObserver, const std::string& aTarget)
{
  const auto& snapshot = At(aObserver).snapshot;
  const auto* record =
    snapshot == nullptr ? nullptr : snapshot->endpoints->Find(aTarget);
  return record == nullptr ? "unknown" : StateName(record->state);
}

bool
Session::IsSettled()
{
  for (const auto& [observer, node] : nodes_) {
    if (node->core == nullptr || node->isPaused) {
      continue;
    }
    for (const auto& [target, other] : nodes_) {
      const auto& reach = node->core->Endpoints().Reach();
      if (!reach.contains(other->options.identity.service)) {
        continue;
      }
      const bool isRunning = other->core != nullptr && !other->isPaused &&
                             !(isDropped && isDropped(target, observer));
      const auto seen = SeenState(observer, target);
      const bool isCorrect =
        isRunning ? seen == StateName(other->upstream)
                  : seen == "down" || seen == "gone" || seen == "unknown";
      if (!isCorrect) {
        return false;
      }
    }
  }
  return true;
}

void
Session::Note(const std::string& aText)
{
  std::array<char, 32> time{};
  std::snprintf(time.data(),
                time.size(),
                "%8.3f  ",
                static_cast<double>(now_.count()) / 1000000);
  transcript_ += time.data() + aText + "\n";
}

void
Session::NotePeerStates()
{
  for (const auto& [observer, node] : nodes_) {
    if (node->core == nullptr) {
      continue;
    }
    const auto& peers = node->core->Peers();
    std::string line = observer + " (" +
                       (peers.isRelay ? "relay"
                        : peers.relay ? "leaf of " + peers.relay->node
                                      : "joining") +
                       ") sees";
    std::map<std::string, std::string> byState;
    for (const auto& [target, other] : nodes_) {
      const auto seen = SeenState(observer, target);
      if (seen != "unknown") {
        byState[seen] += " " + target;
      }
    }
    for (const auto& [state, targets] : byState) {
      line += " " + state + ":" + targets;
    }
    Note(line);
  }
}

void
CheckGolden(const std::string& aName, const std::string& aTranscript)
{
  const auto path =
    std::string(TEASELHOLD_GOLDEN_FOLDER) + "/" + aName + ".golden";
  if (std::getenv("TEASELHOLD_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << aTranscript;
    return;
  }
  std::stringstream golden;
  golden << std::ifstream(path).rdbuf();
  CHECK(golden.str() == aTranscript);
}

} // namespace teaselhold::tests
