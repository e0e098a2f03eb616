#include "Coordination/Admission.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using enum state::RequestClass;
using state::EndpointState;

namespace {

constexpr state::Instant kWarmedUp = 60s;

/// Wraps an Admission and returns its decisions as short texts.
struct AdmissionHarness
{
  AdmissionHarness(std::uint32_t aSlots, std::uint32_t aQueueLimit)
    : admission(AdmissionOptions{ aSlots, aQueueLimit, false })
  {
    admission.SetState(EndpointState::Ready, 0s);
  }

  std::string Submit(std::uint64_t aId,
                     state::RequestClass aClass,
                     state::Instant aDeadline = kWarmedUp + 1s,
                     state::Instant aNow = kWarmedUp,
                     std::uint32_t aTenantLimit = 0,
                     const std::string& aTenant = "tenant")
  {
    const auto decision =
      admission.Decide({ aId, aClass, aTenant, aTenantLimit, aDeadline }, aNow);
    if (const auto* notRun = std::get_if<NotRun>(&decision)) {
      return std::string(
        state::FindEnumName(kNotRunReasonNames, notRun->reason));
    }
    const auto* wait = std::get_if<Queued>(&decision);
    until = wait == nullptr ? aNow : wait->until;
    if (wait != nullptr && wait->displaced) {
      return "displaces " + std::to_string(*wait->displaced);
    }
    return wait == nullptr ? "admit" : "wait";
  }

  static std::string ToText(const std::vector<AdmissionRelease>& aReleases)
  {
    std::string text;
    for (const auto& [id, refused] : aReleases) {
      text += std::to_string(id) + " ";
      text += refused ? state::FindEnumName(kNotRunReasonNames, *refused)
                      : std::string_view("admit");
    }
    return text;
  }

  std::string Finish(std::uint64_t aId, state::Instant aNow = kWarmedUp)
  {
    return ToText(admission.Finish(aId, aNow));
  }

  std::string EnterState(EndpointState aState, state::Instant aNow = kWarmedUp)
  {
    return ToText(admission.SetState(aState, aNow));
  }

  Admission admission;
  state::Instant until{ 0 };
};

} // namespace

TEST_CASE("a request does not overtake a higher class or an earlier arrival")
{
  AdmissionHarness harness(1, 10);
  CHECK(harness.Submit(1, Lookup) == "admit");
  std::uint64_t id = 2;
  for (const auto requestClass : { Batch, Lookup, Order, Check, Order }) {
    CHECK(harness.Submit(id++, requestClass) == "wait");
  }
  CHECK(harness.Finish(1) == "4 admit");
  CHECK(harness.Finish(4) == "6 admit");
  CHECK(harness.Finish(6) == "5 admit");
  CHECK(harness.Submit(7, Lookup) == "wait");
  CHECK(harness.Finish(5) == "3 admit");
  CHECK(harness.Finish(3) == "7 admit");
  CHECK(harness.Finish(7) == "2 admit");
}

TEST_CASE("a full queue sheds batches first and never an order for a lookup")
{
  AdmissionHarness harness(1, 3);
  harness.Submit(1, Order);
  harness.Submit(2, Order);
  harness.Submit(3, Lookup);
  harness.Submit(4, Batch);
  CHECK(harness.Submit(5, Order) == "displaces 4");
  CHECK(harness.Submit(6, Lookup) == "full");
  CHECK(harness.Submit(7, Order) == "displaces 3");
  CHECK(harness.Submit(8, Order) == "full");
}

TEST_CASE("batches and uploads cannot occupy all slots")
{
  AdmissionHarness harness(8, 0);
  for (std::uint64_t id = 1; id <= 8; ++id) {
    CHECK(harness.Submit(id, id % 2 == 0 ? Batch : Upload) ==
          (id <= 6 ? "admit" : "full"));
  }
  CHECK(harness.Submit(9, Order) == "admit");
}

TEST_CASE("a request does not wait past its deadline, nor a lookup over 100 ms")
{
  AdmissionHarness harness(1, 10);
  harness.Submit(1, Order);
  harness.Submit(2, Lookup);
  CHECK(harness.until == kWarmedUp + 100ms);
  harness.Submit(3, Order, kWarmedUp + 500ms);
  CHECK(harness.until == kWarmedUp + 490ms);
  CHECK(harness.Submit(4, Order, kWarmedUp + 5ms) == "full");
  CHECK(harness.Submit(5, Order, kWarmedUp) == "deadline-exceeded");
  CHECK(AdmissionHarness::ToText(harness.admission.Expire(kWarmedUp + 100ms)) ==
        "2 full");
  // A request is not delivered if its deadline has passed when a slot becomes
  // free.
  CHECK(harness.Finish(1, kWarmedUp + 600ms) == "3 deadline-exceeded");
}

TEST_CASE("a tenant at its limit cannot take the slots of another tenant")
{
  AdmissionHarness harness(4, 4);
  const auto submit = [&](std::uint64_t aId, const std::string& aTenant) {
    return harness.Submit(aId, Lookup, kWarmedUp + 1s, kWarmedUp, 2, aTenant);
  };
  CHECK(submit(1, "one") + submit(2, "one") == "admitadmit");
  CHECK(submit(3, "one") == "tenant-limit");
  CHECK(submit(4, "two") == "admit");
  harness.Finish(1);
  CHECK(submit(5, "one") == "admit");
}

TEST_CASE("a cold upstream is not overloaded and its new slots are used")
{
  AdmissionHarness harness(12, 4);
  auto& admission = harness.admission;
  CHECK(admission.UsableSlots(0s) == 2);
  CHECK(harness.Submit(1, Order, 30s, 0s) + harness.Submit(2, Order, 30s, 0s) ==
        "admitadmit");
  CHECK(harness.Submit(3, Order, 30s, 0s) == "wait");
  // An answer in the usual time raises the limit by one, so that two wait no
  // longer.
  CHECK(harness.Submit(4, Order, 30s, 0s) == "wait");
  CHECK(admission.Expire(400ms).empty());
  admission.RecordResult(100ms, true, 400ms);
  CHECK(admission.UsableSlots(400ms) == 3);
  CHECK(AdmissionHarness::ToText(admission.Finish(1, 400ms)) ==
        "3 admit4 admit");
  // Without answers it rises with time.
  CHECK(admission.UsableSlots(5s) == 12);
  harness.EnterState(EndpointState::Draining, 20s);
  harness.EnterState(EndpointState::Ready, 21s);
  CHECK(admission.UsableSlots(21s) == 12);
  harness.EnterState(EndpointState::Starting, 30s);
  harness.EnterState(EndpointState::Ready, 31s);
  CHECK(admission.UsableSlots(31s) == 2);
  // Another run that announces itself before the loss of the first is noticed.
  admission.BeginRun(60s);
  CHECK(admission.UsableSlots(60s) == 2);
}

TEST_CASE("draining finishes queued requests, a crash refuses them as not run")
{
  AdmissionHarness harness(1, 4);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    harness.Submit(id, Order);
  }
  CHECK(harness.EnterState(EndpointState::Draining).empty());
  CHECK(harness.Submit(4, Order) == "draining");
  CHECK(harness.Finish(1) == "2 admit");
  CHECK(harness.EnterState(EndpointState::Starting) == "3 starting");
  CHECK(harness.admission.InFlight() == 1);
}

TEST_CASE("a response marked as shed is not run only if the contract says so")
{
  for (const bool hasShedContract : { false, true }) {
    const Admission admission(AdmissionOptions{ 1, 0, hasShedContract });
    const auto isNotRun = [&](unsigned aStatus, bool aSaysShed) {
      const auto outcome = admission.ClassifyAnswer(aStatus, aSaysShed);
      return std::holds_alternative<NotRun>(outcome);
    };
    CHECK(isNotRun(503, true) == hasShedContract);
    CHECK_FALSE(isNotRun(503, false));
    CHECK_FALSE(isNotRun(500, true));
  }
}

TEST_CASE("no sequence of events exceeds the slots or decides a request twice")
{
  std::mt19937 random(20261204);
  AdmissionHarness harness(4, 6);
  auto& admission = harness.admission;
  std::map<std::uint64_t, bool> unfinished;
  state::Instant now{ 0 };
  const auto applyReleases =
    [&](const std::vector<AdmissionRelease>& aReleases) {
      for (const auto& [id, refused] : aReleases) {
        const auto found = unfinished.find(id);
        REQUIRE(found != unfinished.end());
        REQUIRE_FALSE(std::exchange(found->second, true));
        if (refused) {
          unfinished.erase(found);
        }
      }
    };
  for (std::uint64_t id = 1; id < 20000; ++id) {
    now += state::Duration(random() % 20000);
    const auto requestClass = static_cast<state::RequestClass>(random() % 5);
    const auto decision =
      admission.Decide({ id, requestClass, "t", 0, now + 200ms }, now);
    if (!std::holds_alternative<NotRun>(decision)) {
      unfinished[id] = std::holds_alternative<Admit>(decision);
    }
    const auto* wait = std::get_if<Queued>(&decision);
    if (wait != nullptr && wait->displaced) {
      REQUIRE(unfinished.erase(*wait->displaced) == 1);
    }
    if (!unfinished.empty() && random() % 3 != 0) {
      const auto index = static_cast<long>(random() % unfinished.size());
      const auto ended = std::next(unfinished.begin(), index)->first;
      unfinished.erase(ended);
      applyReleases(admission.Finish(ended, now));
    }
    applyReleases(admission.Expire(now));
    if (random() % 50 == 0) {
      applyReleases(
        admission.SetState(static_cast<EndpointState>(random() % 3), now));
    }
    const auto running = static_cast<std::size_t>(std::ranges::count_if(
      unfinished, [](const auto& aRow) { return aRow.second; }));
    REQUIRE(admission.InFlight() == running);
    REQUIRE(running <= 4);
    REQUIRE(admission.Waiting() <= 6);
    REQUIRE(admission.Waiting() + running == unfinished.size());
  }
}

TEST_CASE("the logged inputs of a decision match the state and the queue")
{
  // Guards against log lines whose values differ from those of the decision.
  Admission admission(AdmissionOptions{ 1, 4, false });
  admission.SetState(EndpointState::Ready, 1s);
  admission.RecordResult(40ms, true, 0s);
  admission.Decide({ 1, Check, "tenant" }, kWarmedUp);
  admission.Decide({ 2, Check, "tenant" }, kWarmedUp);
  const auto inputs =
    admission.DecisionInputs({ 3, Check, "tenant" }, kWarmedUp);
  CHECK(inputs.state == EndpointState::Ready);
  CHECK(inputs.stateAge == kWarmedUp - 1s);
  CHECK(inputs.running == 1);
  CHECK(inputs.waiting == 1);
  CHECK(inputs.slots == 1);
  CHECK(inputs.predictedWait == 80ms);
  admission.SetState(EndpointState::Ready, kWarmedUp + 1s);
  CHECK(
    admission.DecisionInputs({ 3, Check, "tenant" }, kWarmedUp + 2s).stateAge ==
    kWarmedUp + 1s);
  admission.SetState(EndpointState::Draining, kWarmedUp + 2s);
  CHECK(
    admission.DecisionInputs({ 3, Check, "tenant" }, kWarmedUp + 5s).stateAge ==
    3s);
}
