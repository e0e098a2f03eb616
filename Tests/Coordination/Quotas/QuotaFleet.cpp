#include "Tests/Coordination/Quotas/QuotaFleet.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::test {

namespace {

using namespace coordination::quotas;
using std::chrono::milliseconds;

constexpr state::Duration kMaxWait = milliseconds(400);
constexpr state::Duration kCallTimeout = milliseconds(250);

/// Headers of a message and its answer, about.
constexpr std::uint64_t kHeaderBytes = 250;

std::string
NameOf(std::size_t aNode)
{
  return "node-" + std::to_string(aNode);
}

} // namespace

QuotaFleet::QuotaFleet(std::size_t aNodes, std::uint64_t aSeed)
  : random_(aSeed)
  , nodes_(aNodes)
{
  for (std::size_t i = 0; i < aNodes; ++i) {
    nodes_[i].name = NameOf(i);
    Start(i);
  }
  List({});
}

void
QuotaFleet::At(Instant aTime, std::function<void()> aEvent)
{
  events_.emplace(aTime, std::move(aEvent));
}

void
QuotaFleet::OnNode(std::size_t aNode,
                   Instant aTime,
                   std::function<void()> aEvent)
{
  const auto incarnation = nodes_[aNode].incarnation;
  At(aTime, [this, aNode, incarnation, event = std::move(aEvent)] {
    auto& node = nodes_[aNode];
    if (node.quotas == nullptr || node.incarnation != incarnation) {
      return;
    }
    if (node.isPaused) {
      node.held.push_back([this, aNode, incarnation, event] {
        if (nodes_[aNode].quotas != nullptr &&
            nodes_[aNode].incarnation == incarnation) {
          event();
        }
      });
      return;
    }
    event();
  });
}

void
QuotaFleet::Run(state::Duration aTime)
{
  const auto end = now_ + aTime;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
  now_ = end;
}

void
QuotaFleet::Configure(std::vector<state::AccountSpec> aAccounts,
                      state::Duration aSpread)
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(++generation_);
  for (auto& account : aAccounts) {
    builder.AddAccount(std::move(account));
  }
  configuration_ = builder.Build().value();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    OnNode(i,
           now_ + random_.Between({}, aSpread),
           [this, i, configuration = configuration_] {
             QuotaCommands commands;
             nodes_[i].quotas->SetConfiguration(configuration, now_, commands);
             Do(i, std::move(commands));
           });
  }
}

void
QuotaFleet::List(state::Duration aSpread)
{
  state::EndpointTable table;
  const auto listing = ++listing_;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].quotas != nullptr) {
      state::EndpointRecord record;
      record.node = nodes_[i].name;
      record.incarnation = nodes_[i].incarnation;
      record.dataAddress = std::to_string(i);
      record.dataCentre = "dc-" + std::to_string(i % 3);
      record.state = state::EndpointState::Ready;
      table.Merge(record);
    }
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto taken = now_ + random_.Between({}, aSpread);
    OnNode(i, taken, [this, i, table, listing] {
      if (nodes_[i].listing < listing) {
        nodes_[i].listing = listing;
        nodes_[i].quotas->SetNodes(table, now_);
      }
    });
  }
}

void
QuotaFleet::Start(std::size_t aNode)
{
  auto& node = nodes_[aNode];
  ++node.incarnation;
  node.listing = 0;
  node.isPaused = false;
  node.held.clear();
  node.quotas = std::make_unique<Quotas>(
    QuotaNode{ node.name, node.incarnation, "dc-" + std::to_string(aNode % 3) },
    Options(),
    now_);
  if (configuration_ != nullptr) {
    QuotaCommands commands;
    node.quotas->SetConfiguration(configuration_, now_, commands);
    Do(aNode, std::move(commands));
  }
  Tick(aNode);
}

void
QuotaFleet::Tick(std::size_t aNode)
{
  const auto phase = random_.Between({}, milliseconds(20));
  OnNode(aNode, now_ + Quotas::kTick + phase, [this, aNode] {
    QuotaCommands commands;
    nodes_[aNode].quotas->Tick(now_, commands);
    Do(aNode, std::move(commands));
    auto& node = nodes_[aNode];
    for (auto& [account, deadlines] : node.waiters) {
      while (!deadlines.empty() && deadlines.front() <= now_) {
        deadlines.pop_front();
        node.quotas->EndWait(account);
        ++counts_[account].refused;
      }
    }
    Tick(aNode);
  });
}

void
QuotaFleet::Kill(std::size_t aNode)
{
  auto& node = nodes_[aNode];
  node.quotas.reset();
  node.waiters.clear();
  node.held.clear();
}

void
QuotaFleet::Leave(std::size_t aNode)
{
  if (nodes_[aNode].quotas == nullptr) {
    return;
  }
  QuotaCommands commands;
  nodes_[aNode].quotas->Leave(now_, commands);
  Do(aNode, std::move(commands));
  OnNode(aNode, now_ + milliseconds(20), [this, aNode] { Kill(aNode); });
}

void
QuotaFleet::Pause(std::size_t aNode)
{
  nodes_[aNode].isPaused = nodes_[aNode].quotas != nullptr;
}

void
QuotaFleet::Resume(std::size_t aNode)
{
  auto& node = nodes_[aNode];
  node.isPaused = false;
  auto held = std::move(node.held);
  node.held.clear();
  for (auto& event : held) {
    event();
  }
}

void
QuotaFleet::SetGroup(std::size_t aNode, int aGroup)
{
  nodes_[aNode].group = aGroup;
}

void
QuotaFleet::SetLoad(std::size_t aNode,
                    const std::string& aAccount,
                    double aPerSecond)
{
  auto& load = nodes_[aNode].load[aAccount];
  const bool isNew = load <= 0;
  load = aPerSecond;
  if (isNew && aPerSecond > 0) {
    ScheduleArrival(aNode, aAccount);
  }
}

void
QuotaFleet::SpreadLoad(const std::string& aAccount, double aPerSecond)
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    SetLoad(i, aAccount, aPerSecond / static_cast<double>(nodes_.size()));
  }
}

void
QuotaFleet::ScheduleArrival(std::size_t aNode, const std::string& aAccount)
{
  const double perSecond = nodes_[aNode].load[aAccount];
  const double uniform =
    static_cast<double>(1 + random_.NextBelow(1000000)) / 1000001.0;
  const std::chrono::duration<double> wait(-std::log(uniform) / perSecond);
  At(now_ + std::chrono::duration_cast<state::Duration>(wait),
     [this, aNode, aAccount] {
       if (nodes_[aNode].load[aAccount] <= 0) {
         return;
       }
       Arrive(aNode, aAccount);
       ScheduleArrival(aNode, aAccount);
     });
}

void
QuotaFleet::Arrive(std::size_t aNode, const std::string& aAccount)
{
  if (nodes_[aNode].quotas == nullptr) {
    return;
  }
  ++counts_[aAccount].asked;
  arrivals_[aAccount].push_back(now_);
  OnNode(aNode, now_, [this, aNode, aAccount] {
    TryTake(aNode, aAccount, true, now_ + kMaxWait);
  });
}

void
QuotaFleet::TryTake(std::size_t aNode,
                    const std::string& aAccount,
                    bool aIsFirst,
                    Instant aDeadline)
{
  auto& node = nodes_[aNode];
  QuotaCommands commands;
  const auto result = node.quotas->Take(aAccount, aIsFirst, now_, commands);
  if (const auto* credit = std::get_if<Credit>(&result)) {
    Ran(aNode, aAccount, *credit);
  } else if (std::holds_alternative<WaitForCredit>(result)) {
    node.waiters[aAccount].push_back(aDeadline);
    waited_ += aIsFirst ? 1 : 0;
  } else {
    ++counts_[aAccount].refused;
  }
  Do(aNode, std::move(commands));
}

void
QuotaFleet::Ran(std::size_t aNode,
                const std::string& aAccount,
                const Credit& aCredit)
{
  const auto drawn = static_cast<double>(random_.NextBelow(1000)) / 1000.0;
  if (drawn < notRunShare_) {
    OnNode(aNode, now_ + milliseconds(5), [this, aNode, aAccount, aCredit] {
      nodes_[aNode].quotas->GiveBack(aAccount, aCredit, now_);
    });
    return;
  }
  ++counts_[aAccount].ran;
  runs_[aAccount].push_back(now_);
}

state::Duration
QuotaFleet::Delay()
{
  return random_.Between(network_.minDelay, network_.maxDelay);
}

bool
QuotaFleet::IsLost(std::size_t aFrom, std::size_t aTo)
{
  return nodes_[aFrom].group != nodes_[aTo].group ||
         random_.NextBelow(1000) < network_.lostOfThousand;
}

void
QuotaFleet::Do(std::size_t aNode, QuotaCommands aCommands)
{
  for (const auto& command : aCommands) {
    if (const auto* send = std::get_if<SendQuestions>(&command)) {
      Deliver(aNode, *send);
      continue;
    }
    const auto& account = std::get<WakeAccount>(command).account;
    auto waiters = std::move(nodes_[aNode].waiters[account]);
    nodes_[aNode].waiters[account].clear();
    for (const auto deadline : waiters) {
      nodes_[aNode].quotas->EndWait(account);
      TryTake(aNode, account, false, deadline);
    }
  }
}

void
QuotaFleet::Deliver(std::size_t aFrom, const SendQuestions& aCommand)
{
  const auto to = static_cast<std::size_t>(std::stoul(aCommand.address));
  const auto call = aCommand.call;
  const auto text = Encode(aCommand.message);
  ++messages_;
  bytes_ += kHeaderBytes + text.size();
  const auto isDone = std::make_shared<bool>(false);
  const auto answer =
    [this, aFrom, call, isDone](const AnswerMessage* aAnswer) {
      if (std::exchange(*isDone, true)) {
        return;
      }
      QuotaCommands commands;
      nodes_[aFrom].quotas->OnAnswer(call, aAnswer, now_, commands);
      Do(aFrom, std::move(commands));
    };
  OnNode(aFrom, now_ + kCallTimeout, [answer] { answer(nullptr); });
  if (IsLost(aFrom, to)) {
    return;
  }
  if (nodes_[to].quotas == nullptr) {
    // Refused at once.
    OnNode(aFrom, now_ + Delay(), [answer] { answer(nullptr); });
    return;
  }
  OnNode(to, now_ + Delay(), [this, aFrom, to, text, answer] {
    const auto reply =
      nodes_[to].quotas->OnQuestions(DecodeQuestions(text).value(), now_);
    const auto replyText = Encode(reply);
    bytes_ += kHeaderBytes / 2 + replyText.size();
    if (!IsLost(to, aFrom)) {
      OnNode(aFrom, now_ + Delay(), [replyText, answer] {
        const auto decoded = DecodeAnswers(replyText).value();
        answer(&decoded);
      });
    }
  });
}

std::optional<std::size_t>
QuotaFleet::Lender(const std::string& aAccount, std::uint32_t aPart)
{
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].quotas != nullptr &&
        nodes_[i].quotas->IsLenderOf(aAccount, aPart, now_)) {
      return i;
    }
  }
  return std::nullopt;
}

std::size_t
QuotaFleet::DoubleLent()
{
  const auto slots = SlotCount(*configuration_);
  std::size_t doubles = 0;
  for (std::uint32_t index = 0; index < slots * kParts; ++index) {
    const Position position{ slots, index / kParts, index % kParts };
    const auto lenders = std::ranges::count_if(nodes_, [&](const auto& aNode) {
      return aNode.quotas != nullptr && aNode.quotas->IsLending(position, now_);
    });
    doubles += lenders > 1 ? 1 : 0;
  }
  return doubles;
}

QuotaFleet::Count
QuotaFleet::Take(const std::string& aAccount)
{
  return std::exchange(counts_[aAccount], {});
}

std::uint64_t
QuotaFleet::RefusedByOneBucket(const state::AccountSpec& aSpec,
                               Instant aFrom) const
{
  std::uint64_t refused = 0;
  double credit = aSpec.burst;
  auto last = aFrom;
  const auto entry = arrivals_.find(aSpec.name);
  if (entry == arrivals_.end()) {
    return 0;
  }
  for (const auto time : entry->second) {
    if (time < aFrom) {
      continue;
    }
    const std::chrono::duration<double> elapsed = time - last;
    last = time;
    credit = std::min<double>(
      aSpec.burst, credit + elapsed.count() * aSpec.requestsPerSecond);
    if (credit < 1) {
      ++refused;
    } else {
      credit -= 1;
    }
  }
  return refused;
}

double
QuotaFleet::Excess(const state::AccountSpec& aSpec, Instant aFrom) const
{
  const auto options = Options();
  const double seconds = std::chrono::duration<double>(options.window).count();
  const double limit =
    (aSpec.requestsPerSecond * seconds + aSpec.burst) * (1 + options.overage) +
    options.slack;
  const auto entry = runs_.find(aSpec.name);
  if (entry == runs_.end()) {
    return -limit;
  }
  std::vector<Instant> runs;
  std::ranges::copy_if(entry->second,
                       std::back_inserter(runs),
                       [&](Instant aTime) { return aTime >= aFrom; });
  std::ranges::sort(runs);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < runs.size(); ++last) {
    while (runs[last] - runs[first] > options.window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most) - limit;
}

} // namespace teaselhold::test
