#include "Tests/Coordination/VersionFleet.h"

#include "admin.pb.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::tests;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

/// Golden tests of configuration distribution. Transcripts contain no times or
/// node names, so they change only if the distribution of versions does.
namespace {

constexpr std::uint64_t kSeed = 7;

class GoldenSession
{
public:
  explicit GoldenSession(std::string aName)
    : fleet_(kSeed, { "a", "b" }, 5)
    , name_(std::move(aName))
  {
    fleet_.Settle();
    fleet_.session.onStoreCall = [this](const auto&, const CallStore& aCall) {
      CountStoreCall(aCall);
    };
    RecordVersions();
  }

  void Record(const std::string& aText) { transcript_ += aText + "\n"; }

  void RecordVersions()
  {
    std::set<state::Generation> active;
    for (const auto& name : fleet_.session.Names()) {
      if (fleet_.IsRunning(name)) {
        active.insert(fleet_.Active(name));
      }
    }
    std::string line = "in force on the running nodes:";
    for (const auto generation : active) {
      line += " " + std::to_string(generation);
    }
    Record(line +
           "; in the store: " + std::to_string(fleet_.StoreGeneration()));
  }

  /// Records whether all nodes have the store's value in force within aLimit.
  void RecordConvergence(const char* aLimitName, state::Duration aLimit)
  {
    const auto time = fleet_.session.RunUntil(
      [&] { return fleet_.AreAppliesFinished() && fleet_.IsConverged(); },
      aLimit);
    Record(std::string(time ? "converged" : "NOT converged") + " within " +
           aLimitName);
    RecordVersions();
  }

  void RecordOutcomes()
  {
    auto& applies = fleet_.session.finishedApplies;
    for (; recordedApplies_ < applies.size(); ++recordedApplies_) {
      const auto& finish = applies[recordedApplies_];
      Record(
        "apply " + std::to_string(finish.id) + ": " +
        std::string(state::FindEnumName(kApplyOutcomeNames, finish.outcome)) +
        " generation=" + std::to_string(finish.generation) +
        (finish.message.empty() ? "" : " message=" + finish.message));
      if (!finish.currentText.empty()) {
        Record("  the text that won: " +
               finish.currentText.substr(0, finish.currentText.find('\n')));
      }
    }
  }

  void RecordAlarms()
  {
    std::set<std::string> alarms;
    for (const auto& name : fleet_.session.Names()) {
      if (fleet_.session.At(name).core != nullptr) {
        const auto status = fleet_.session.At(name).core->Status();
        alarms.insert(status.alarms.begin(), status.alarms.end());
      }
    }
    for (const auto& alarm : alarms) {
      Record("alarm: " + alarm);
    }
  }

  void RecordStoreCalls()
  {
    Record("store calls for the configuration: " + std::to_string(reads_) +
           " reads, " + std::to_string(writes_) + " writes");
    reads_ = 0;
    writes_ = 0;
  }

  void Check()
  {
    INFO(fleet_.session.Transcript());
    CHECK(fleet_.Violations() == std::vector<std::string>{});
    CheckGolden(name_, transcript_);
  }

  VersionFleet fleet_;

private:
  void CountStoreCall(const CallStore& aCall)
  {
    const auto* swap = std::get_if<StoreSwap>(&aCall.request);
    reads_ += std::holds_alternative<StoreGet>(aCall.request) ? 1 : 0;
    writes_ +=
      swap != nullptr && swap->key == protocol::kConfigurationKey ? 1 : 0;
  }

  std::string name_;
  std::string transcript_;
  std::size_t recordedApplies_ = 0;
  unsigned reads_ = 0;
  unsigned writes_ = 0;
};

std::string
WithGeneration(state::Generation aGeneration, const std::string& aText)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_digest(state::DigestOfText(aText));
  stored.set_text(aText);
  return stored.SerializeAsString();
}

} // namespace

TEST_CASE(
  "session: an accepted change takes one read and one write of the store")
{
  GoldenSession golden("accepted-change");
  auto& fleet = golden.fleet_;
  fleet.Apply(fleet.FindNode(false), "second", 1);
  golden.RecordConvergence("1 s", 1s);
  golden.RecordOutcomes();
  golden.RecordStoreCalls();
  fleet.Apply(fleet.FindNode(true), "second");
  fleet.session.Run(1s);
  golden.RecordOutcomes();
  golden.Check();
}

TEST_CASE("session: a version that does not compile never takes effect")
{
  GoldenSession golden("refused-change");
  auto& fleet = golden.fleet_;
  fleet.Apply(fleet.FindNode(false), "not a name");
  golden.RecordOutcomes();
  golden.RecordStoreCalls();
  golden.Record("the store gets a text that does not compile");
  fleet.session.store.Overwrite(protocol::kConfigurationKey,
                                WithGeneration(2, "[service a]\nbroken\n"));
  fleet.session.Run(3s);
  golden.RecordVersions();
  std::size_t refusing = 0;
  for (const auto& name : fleet.session.Names()) {
    refusing += fleet.session.At(name).core->Distribution().RefusedGeneration();
  }
  golden.Record("nodes that report generation 2 as refused: " +
                std::to_string(refusing / 2));
  golden.Record("a valid text replaces it");
  fleet.Apply(fleet.FindNode(false), "good");
  golden.RecordConvergence("1 s", 1s);
  golden.Check();
}

TEST_CASE("session: an operator who loses a race gets the text that won")
{
  GoldenSession golden("racing-operators");
  auto& fleet = golden.fleet_;
  fleet.Apply(fleet.FindNode(true), "left", 1);
  fleet.Apply(fleet.FindNode(false), "right", 1);
  golden.RecordConvergence("1 s", 1s);
  golden.RecordOutcomes();
  fleet.Apply(fleet.FindNode(false), "right-again", fleet.StoreGeneration());
  golden.RecordConvergence("1 s", 1s);
  golden.RecordOutcomes();
  golden.Check();
}

TEST_CASE("session: a lost store answer is resolved by reading the store back")
{
  GoldenSession golden("lost-answer");
  auto& fleet = golden.fleet_;
  fleet.session.store.isNextWriteAnswerLost = true;
  fleet.Apply(fleet.FindNode(false), "second", 1);
  golden.RecordConvergence("2 s", 2s);
  golden.RecordOutcomes();
  golden.RecordStoreCalls();
  golden.Check();
}

TEST_CASE("session: restarts during a store outage lose no version")
{
  GoldenSession golden("store-outage-with-restarts");
  auto& fleet = golden.fleet_;
  fleet.Apply(fleet.FindNode(false), "second");
  golden.RecordConvergence("1 s", 1s);
  golden.RecordOutcomes();
  golden.Record(
    "the store is unavailable; each node of one data centre restarts");
  fleet.session.store.isUnavailable = true;
  for (const auto& name : fleet.session.Names()) {
    if (name[0] == 'a') {
      fleet.session.Kill(name);
      fleet.session.Start(name);
    }
  }
  fleet.Apply(fleet.FindNode(true), "third", 2, 2s);
  golden.RecordConvergence("15 s", 15s);
  golden.RecordOutcomes();
  golden.Record("every node restarts and waits for the store");
  for (const auto& name : fleet.session.Names()) {
    fleet.session.Kill(name);
    fleet.session.Start(name);
  }
  fleet.session.Run(10s);
  golden.RecordVersions();
  fleet.session.store.isUnavailable = false;
  golden.Record("the store is available again");
  golden.RecordConvergence("15 s", 15s);
  golden.Check();
}

TEST_CASE("session: a reader paused past its lease does not delay changes")
{
  GoldenSession golden("reader-paused");
  auto& fleet = golden.fleet_;
  const auto reader = fleet.FindReader();
  golden.Record("one reader is paused for 10 s");
  fleet.session.Pause(reader);
  fleet.session.Run(10s);
  fleet.session.Resume(reader);
  fleet.session.Run(100ms);
  golden.Record(
    std::string("it still considers itself a reader: ") +
    (fleet.session.At(reader).core->Reader().IsReader() ? "yes" : "no"));
  golden.Record("both readers are paused; the store changes");
  for (int i = 0; i < 2; ++i) {
    fleet.session.Pause(fleet.FindReader());
  }
  fleet.WriteToStore("second");
  golden.RecordConvergence("9 s", 9s);
  for (const auto& name : fleet.session.Names()) {
    fleet.session.Resume(name);
  }
  golden.RecordConvergence("3 s", 3s);
  golden.Check();
}

TEST_CASE("session: nodes write the newest version back to a restored store")
{
  GoldenSession golden("store-restored");
  auto& fleet = golden.fleet_;
  fleet.Apply(fleet.FindNode(false), "second");
  golden.RecordConvergence("1 s", 1s);
  const auto backup =
    fleet.session.store.Entry(protocol::kConfigurationKey).value;
  fleet.Apply(fleet.FindNode(false), "third");
  golden.RecordConvergence("1 s", 1s);
  golden.Record("the store is restored from a backup with generation 2");
  fleet.session.store.Overwrite(protocol::kConfigurationKey, backup);
  fleet.session.Run(2s);
  golden.RecordVersions();
  golden.RecordAlarms();
  golden.Record("the store loses the key");
  fleet.session.store.Remove(protocol::kConfigurationKey);
  fleet.session.Run(2s);
  golden.RecordVersions();
  golden.Check();
}

TEST_CASE("session: nodes converge if updates are late, duplicated or lost")
{
  GoldenSession golden("crossed-versions");
  auto& fleet = golden.fleet_;
  fleet.session.delayPercent = 60;
  fleet.session.duplicatePercent = 50;
  fleet.session.lossPercent = 10;
  golden.Record("messages are late (60%), duplicated (50%) and lost (10%)");
  for (const auto* mark : { "second", "third", "fourth", "fifth" }) {
    fleet.Apply(fleet.FindNode(false), mark);
    fleet.session.Run(50ms);
  }
  golden.RecordConvergence("10 s", 10s);
  golden.RecordOutcomes();
  golden.Check();
}
