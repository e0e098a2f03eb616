#include "Coordination/ApplyCoordinator.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char* kText = "[service a]\n";

/// An ApplyCoordinator on a settled node. The test supplies the store's
/// answers.
struct Node
{
  Node()
  {
    distribution.OnStored({}, peers, now, commands);
    commands.clear();
  }

  void Apply(state::Generation aBase = 0)
  {
    acceptance.OnApply(
      { 1, kText, aBase, "own", now + 5s }, peers, now, commands);
  }

  /// Answers the most recent store call.
  void Answer(StoreResult aResult)
  {
    std::uint64_t call = 0;
    for (const auto& command : commands) {
      if (const auto* made = std::get_if<CallStore>(&command)) {
        call = made->call;
      }
    }
    const bool isOwn = acceptance.OnStoreAnswer(
      { call, std::move(aResult) }, peers, now, commands);
    CHECK(isOwn);
  }

  void Wait(state::Duration aTime)
  {
    now += aTime;
    acceptance.Tick(peers, now, commands);
  }

  std::vector<ApplyOutcome> Outcomes() const
  {
    std::vector<ApplyOutcome> outcomes;
    for (const auto& command : commands) {
      if (const auto* finish = std::get_if<FinishApply>(&command)) {
        outcomes.push_back(finish->outcome);
      }
    }
    return outcomes;
  }

  static protocol::StoreEntry Entry(state::Generation aGeneration,
                                    const std::string& aApplyId,
                                    std::uint64_t aRevision)
  {
    wire::StoredConfiguration stored;
    stored.set_generation(aGeneration);
    stored.set_text("[service " + aApplyId + "]\n");
    stored.set_digest(state::DigestOfText(stored.text()));
    stored.set_apply_id(aApplyId);
    return { stored.SerializeAsString(), aRevision };
  }

  PeerDirectory peers;
  state::Instant now{ 1s };
  StoreCallNumbers numbers;
  ConfigurationDistribution distribution{ { "n", 1, "a", "d", "r", "", "" },
                                          1 };
  ApplyCoordinator acceptance{ 2, numbers, distribution };
  Commands commands;
};

using Outcomes = std::vector<ApplyOutcome>;
const protocol::StoreError kUnavailable{ protocol::StoreErrorCode::Unavailable,
                                         "down" };
const protocol::StoreError kLost{ protocol::StoreErrorCode::Unknown, "lost" };

} // namespace

TEST_CASE("an apply while the store is unavailable ends as not applied")
{
  Node node;
  node.Apply();
  node.Answer(kUnavailable);
  node.Wait(6s);
  CHECK(node.Outcomes() == Outcomes{ ApplyOutcome::NotApplied });
}

TEST_CASE("an apply whose write is unanswered at the deadline ends as unknown")
{
  Node node;
  node.Apply();
  node.Answer(protocol::StoreEntry{});
  node.Answer(kLost);
  node.Wait(6s);
  CHECK(node.Outcomes() == Outcomes{ ApplyOutcome::Unknown });
}

TEST_CASE("an unanswered write overtaken by another change ends as a conflict")
{
  Node node;
  node.Apply();
  node.Answer(protocol::StoreEntry{});
  node.Answer(kLost);
  node.Wait(200ms);
  node.Answer(Node::Entry(1, "other", 9));
  CHECK(node.Outcomes() == Outcomes{ ApplyOutcome::Conflict });
}

TEST_CASE("an unanswered write is sent again if the stored value is unchanged")
{
  Node node;
  node.Apply();
  node.Answer(protocol::StoreEntry{});
  node.Answer(kLost);
  node.Wait(200ms);
  node.Answer(protocol::StoreEntry{});
  CHECK(node.Outcomes().empty());
  node.Answer(protocol::SwapResult{ true, {} });
  CHECK(node.Outcomes() == Outcomes{ ApplyOutcome::Accepted });
  CHECK(node.distribution.Held().generation() == 1);
}

TEST_CASE("a stale node reports a conflict and takes over the store's version")
{
  Node node;
  node.Apply(4);
  node.Answer(Node::Entry(5, "other", 9));
  CHECK(node.Outcomes() == Outcomes{ ApplyOutcome::Conflict });
  CHECK(node.distribution.Held().generation() == 5);
}

TEST_CASE("a node that does not know its floor does not apply changes")
{
  Node node;
  ConfigurationDistribution unsettled({ "n", 1, "a", "d", "r", "", "" }, 1);
  ApplyCoordinator acceptance(2, node.numbers, unsettled);
  acceptance.OnApply(
    { 1, kText, 0, "own", node.now + 1s }, node.peers, node.now, node.commands);
  acceptance.Tick(node.peers, node.now + 2s, node.commands);
  CHECK(node.Outcomes() == Outcomes{ ApplyOutcome::NotApplied });
}
