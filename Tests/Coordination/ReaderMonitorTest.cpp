#include "Coordination/ReaderMonitor.h"
#include "Coordination/ReaderSelection.h"

#include <catch2/catch.hpp>
#include <set>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

/// Drives one monitor; the test sets what each candidate answers.
class MonitorHarness
{
public:
  explicit MonitorHarness(std::size_t aCandidates)
  {
    std::vector<std::string> candidates;
    for (std::size_t i = 0; i < aCandidates; ++i) {
      candidates.push_back("n" + std::to_string(i));
      roles[candidates.back()] = ReaderRole::Unavailable;
    }
    monitor.SetCandidates(candidates);
  }

  /// Ticks once, and answers all questions but those that a reader holds back.
  void Step()
  {
    now += 100ms;
    Tick();
    while (!questions.empty()) {
      const auto asked = std::exchange(questions, {});
      bool isAnswered = false;
      for (const auto& question : asked) {
        const auto role = roles[question.address];
        if (question.mayWait && role == ReaderRole::Reading) {
          questions.push_back(question);
          continue;
        }
        isAnswered = true;
        monitor.OnAnswer({ question.call, role }, now);
      }
      if (!isAnswered) {
        return;
      }
      Tick();
    }
  }

  void Run(state::Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      Step();
    }
  }

  void Tick()
  {
    Commands commands;
    monitor.Tick(isWanted, now, commands);
    for (const auto& command : commands) {
      if (const auto* ask = std::get_if<AskReader>(&command)) {
        questions.push_back(*ask);
        ++asked;
      }
    }
  }

  state::Instant now{ 1s };
  bool isWanted = true;
  std::map<std::string, ReaderRole> roles;
  std::vector<AskReader> questions;
  std::size_t asked = 0;
  ReaderMonitor monitor;
};

} // namespace

TEST_CASE("a follower keeps one question open at a reader")
{
  // Guards against a cost that grows with the number of readers, or with time.
  MonitorHarness harness(30);
  harness.roles["n2"] = ReaderRole::Reading;
  harness.Run(1s);
  CHECK_FALSE(harness.monitor.IsSubstitute());
  REQUIRE(harness.questions.size() == 1);
  CHECK(harness.questions[0].address == "n2");
  const auto asked = harness.asked;
  harness.Run(5s);
  CHECK(harness.asked == asked);
}

TEST_CASE("a node without a living node before it reads for the others at once")
{
  // Guards against a fleet that follows changes that nobody writes.
  MonitorHarness harness(GENERATE(0U, 4U, 110U));
  harness.Step();
  CHECK(harness.monitor.IsSubstitute());
  SECTION("until it finds a reader")
  {
    harness.roles["n0"] = ReaderRole::Reading;
    harness.monitor.SetCandidates({ "n0" });
    harness.Run(1500ms);
    CHECK_FALSE(harness.monitor.IsSubstitute());
  }
  SECTION("as long as it is wanted")
  {
    harness.isWanted = false;
    harness.Step();
    CHECK_FALSE(harness.monitor.IsSubstitute());
  }
}

TEST_CASE("a node that follows gets the time to take over before the next one")
{
  // Guards against all nodes that read the whole configuration once the readers
  // are lost.
  MonitorHarness harness(20);
  harness.roles["n9"] = ReaderRole::Following;
  harness.Run(300ms);
  CHECK_FALSE(harness.monitor.IsSubstitute());
  SECTION("and is relied on once it reads")
  {
    harness.roles["n9"] = ReaderRole::Reading;
    harness.Run(5s);
    CHECK_FALSE(harness.monitor.IsSubstitute());
    REQUIRE(harness.questions.size() == 1);
    CHECK(harness.questions[0].address == "n9");
  }
  SECTION("but no more than that")
  {
    harness.Run(1s);
    CHECK(harness.monitor.IsSubstitute());
  }
}

TEST_CASE("a reader that stops reading is left at once")
{
  MonitorHarness harness(8);
  harness.roles["n0"] = ReaderRole::Reading;
  harness.roles["n1"] = ReaderRole::Reading;
  harness.Run(500ms);
  REQUIRE(harness.questions.size() == 1);
  CHECK(harness.questions[0].address == "n0");
  harness.roles["n0"] = ReaderRole::Unavailable;
  harness.Step();
  REQUIRE(harness.questions.size() == 1);
  CHECK(harness.questions[0].address == "n1");
}

TEST_CASE("late answers to earlier questions change nothing")
{
  MonitorHarness harness(4);
  harness.Tick();
  REQUIRE(harness.questions.size() == 4);
  const auto early = std::exchange(harness.questions, {});
  harness.monitor.SetCandidates({ "a", "b" });
  harness.roles["a"] = ReaderRole::Unavailable;
  harness.roles["b"] = ReaderRole::Unavailable;
  for (const auto& question : early) {
    harness.monitor.OnAnswer({ question.call, ReaderRole::Reading },
                             harness.now);
  }
  harness.Step();
  CHECK(harness.monitor.IsSubstitute());
}

TEST_CASE("followers spread over the readers and agree on who takes over")
{
  state::EndpointTable table;
  constexpr int kNodes = 40;
  for (int i = 0; i < kNodes; ++i) {
    state::EndpointRecord record;
    record.node = "n" + std::to_string(10 + i);
    record.dataAddress = record.node;
    record.dataCentre = "dc" + std::to_string(i % 4);
    record.state = state::EndpointState::Ready;
    record.capacity = 5;
    table.Merge(record);
  }
  std::set<std::string> first;
  for (int i = 4; i < kNodes; ++i) {
    const auto node = "n" + std::to_string(10 + i);
    const auto before = ReadersBefore(table, node);
    REQUIRE(before.size() == static_cast<std::size_t>(i));
    first.insert(before.front());
    CHECK((i == 4 || before.back() == "n" + std::to_string(10 + i - 1)));
    for (const auto& reader : { "n10", "n11", "n12", "n13" }) {
      CHECK(std::ranges::find(before.begin(), before.begin() + 4, reader) !=
            before.begin() + 4);
    }
  }
  CHECK(first.size() == 4);
}
