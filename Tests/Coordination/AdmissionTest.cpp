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

constexpr state::Instant kWarm = 60s;

/// Wraps an Admission and returns its decisions as short texts.
struct Desk
{
  Desk(std::uint32_t aSlots, std::uint32_t aQueueLimit)
    : admission(AdmissionOptions{ aSlots, aQueueLimit, false })
  {
    admission.SetState(EndpointState::Ready, 0s);
  }

  std::string Ask(std::uint64_t aId,
                  state::RequestClass aClass,
                  state::Instant aDeadline = kWarm + 1s,
                  state::Instant aNow = kWarm,
                  std::uint32_t aTenantLimit = 0,
                  const std::string& aTenant = "tenant")
  {
    const auto decision =
      admission.Decide({ aId, aClass, aTenant, aTenantLimit, aDeadline }, aNow);
    if (const auto* notRun = std::get_if<NotRun>(&decision)) {
      return std::string(
        state::FindEnumName(kNotRunReasonNames, notRun->reason));
    }
    const auto* wait = std::get_if<Wait>(&decision);
    until = wait == nullptr ? aNow : wait->until;
    if (wait != nullptr && wait->displaced) {
      return "displaces " + std::to_string(*wait->displaced);
    }
    return wait == nullptr ? "admit" : "wait";
  }

  static std::string Text(const std::vector<AdmissionRelease>& aReleases)
  {
    std::string text;
    for (const auto& [id, refused] : aReleases) {
      text += std::to_string(id) + " ";
      text += refused ? state::FindEnumName(kNotRunReasonNames, *refused)
                      : std::string_view("admit");
    }
    return text;
  }

  std::string Finish(std::uint64_t aId, state::Instant aNow = kWarm)
  {
    return Text(admission.Finish(aId, aNow));
  }

  std::string Become(EndpointState aState, state::Instant aNow = kWarm)
  {
    return Text(admission.SetState(aState, aNow));
  }

  Admission admission;
  state::Instant until{ 0 };
};

} // namespace

TEST_CASE("a request does not overtake a higher class or an earlier arrival")
{
  Desk desk(1, 10);
  CHECK(desk.Ask(1, Lookup) == "admit");
  std::uint64_t id = 2;
  for (const auto requestClass : { Batch, Lookup, Order, Check, Order }) {
    CHECK(desk.Ask(id++, requestClass) == "wait");
  }
  CHECK(desk.Finish(1) == "4 admit");
  CHECK(desk.Finish(4) == "6 admit");
  CHECK(desk.Finish(6) == "5 admit");
  CHECK(desk.Ask(7, Lookup) == "wait");
  CHECK(desk.Finish(5) == "3 admit");
  CHECK(desk.Finish(3) == "7 admit");
  CHECK(desk.Finish(7) == "2 admit");
}

TEST_CASE("a full queue sheds batches first and never an order for a lookup")
{
  Desk desk(1, 3);
  desk.Ask(1, Order);
  desk.Ask(2, Order);
  desk.Ask(3, Lookup);
  desk.Ask(4, Batch);
  CHECK(desk.Ask(5, Order) == "displaces 4");
  CHECK(desk.Ask(6, Lookup) == "full");
  CHECK(desk.Ask(7, Order) == "displaces 3");
  CHECK(desk.Ask(8, Order) == "full");
}

TEST_CASE("batches and uploads cannot occupy all slots")
{
  Desk desk(8, 0);
  for (std::uint64_t id = 1; id <= 8; ++id) {
    CHECK(desk.Ask(id, id % 2 == 0 ? Batch : Upload) ==
          (id <= 6 ? "admit" : "full"));
  }
  CHECK(desk.Ask(9, Order) == "admit");
}

TEST_CASE("a request does not wait past its deadline, nor a lookup over 100 ms")
{
  Desk desk(1, 10);
  desk.Ask(1, Order);
  desk.Ask(2, Lookup);
  CHECK(desk.until == kWarm + 100ms);
  desk.Ask(3, Order, kWarm + 500ms);
  CHECK(desk.until == kWarm + 490ms);
  CHECK(desk.Ask(4, Order, kWarm + 5ms) == "full");
  CHECK(desk.Ask(5, Order, kWarm) == "deadline-exceeded");
  CHECK(Desk::Text(desk.admission.Expire(kWarm + 100ms)) == "2 full");
  // A request is not delivered if its deadline has passed when a slot becomes
  // free.
  CHECK(desk.Finish(1, kWarm + 600ms) == "3 deadline-exceeded");
}

TEST_CASE("a tenant at its limit cannot take the slots of another tenant")
{
  Desk desk(4, 4);
  const auto ask = [&](std::uint64_t aId, const std::string& aTenant) {
    return desk.Ask(aId, Lookup, kWarm + 1s, kWarm, 2, aTenant);
  };
  CHECK(ask(1, "one") + ask(2, "one") == "admitadmit");
  CHECK(ask(3, "one") == "tenant-limit");
  CHECK(ask(4, "two") == "admit");
  desk.Finish(1);
  CHECK(ask(5, "one") == "admit");
}

TEST_CASE("a cold upstream is not overloaded and its new slots are used")
{
  Desk desk(12, 4);
  CHECK(desk.admission.UsableSlots(5s) == 7);
  CHECK(desk.admission.UsableSlots(10s) == 12);
  CHECK(desk.Ask(1, Order, 30s, 0s) + desk.Ask(2, Order, 30s, 0s) ==
        "admitadmit");
  CHECK(desk.Ask(3, Order, 30s, 0s) == "wait");
  CHECK(desk.admission.Expire(900ms).empty());
  CHECK(Desk::Text(desk.admission.Expire(1s)) == "3 admit");
  desk.Become(EndpointState::Draining, 20s);
  desk.Become(EndpointState::Ready, 21s);
  CHECK(desk.admission.UsableSlots(21s) == 12);
  desk.Become(EndpointState::Starting, 30s);
  desk.Become(EndpointState::Ready, 31s);
  CHECK(desk.admission.UsableSlots(31s) == 2);
}

TEST_CASE("draining finishes queued requests, a crash refuses them as not run")
{
  Desk desk(1, 4);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    desk.Ask(id, Order);
  }
  CHECK(desk.Become(EndpointState::Draining).empty());
  CHECK(desk.Ask(4, Order) == "draining");
  CHECK(desk.Finish(1) == "2 admit");
  CHECK(desk.Become(EndpointState::Starting) == "3 starting");
  CHECK(desk.admission.InFlight() == 1);
}

TEST_CASE("a response marked as shed is not run only if the contract says so")
{
  for (const bool trusts : { false, true }) {
    const Admission admission(AdmissionOptions{ 1, 0, trusts });
    const auto isNotRun = [&](unsigned aStatus, bool aSaysShed) {
      const auto outcome = admission.ClassifyAnswer(aStatus, aSaysShed);
      return std::holds_alternative<NotRun>(outcome);
    };
    CHECK(isNotRun(503, true) == trusts);
    CHECK_FALSE(isNotRun(503, false));
    CHECK_FALSE(isNotRun(500, true));
  }
}

TEST_CASE("no sequence of events exceeds the slots or decides a request twice")
{
  std::mt19937 random(20261204);
  Desk desk(4, 6);
  auto& admission = desk.admission;
  std::map<std::uint64_t, bool> open;
  state::Instant now{ 0 };
  const auto take = [&](const std::vector<AdmissionRelease>& aReleases) {
    for (const auto& [id, refused] : aReleases) {
      const auto found = open.find(id);
      REQUIRE(found != open.end());
      REQUIRE_FALSE(std::exchange(found->second, true));
      if (refused) {
        open.erase(found);
      }
    }
  };
  for (std::uint64_t id = 1; id < 20000; ++id) {
    now += state::Duration(random() % 20000);
    const auto requestClass = static_cast<state::RequestClass>(random() % 5);
    const auto decision =
      admission.Decide({ id, requestClass, "t", 0, now + 200ms }, now);
    if (!std::holds_alternative<NotRun>(decision)) {
      open[id] = std::holds_alternative<Admit>(decision);
    }
    const auto* wait = std::get_if<Wait>(&decision);
    if (wait != nullptr && wait->displaced) {
      REQUIRE(open.erase(*wait->displaced) == 1);
    }
    if (!open.empty() && random() % 3 != 0) {
      const auto index = static_cast<long>(random() % open.size());
      const auto ended = std::next(open.begin(), index)->first;
      open.erase(ended);
      take(admission.Finish(ended, now));
    }
    take(admission.Expire(now));
    if (random() % 50 == 0) {
      take(admission.SetState(static_cast<EndpointState>(random() % 3), now));
    }
    const auto running = static_cast<std::size_t>(std::ranges::count_if(
      open, [](const auto& aRow) { return aRow.second; }));
    REQUIRE(admission.InFlight() == running);
    REQUIRE(running <= 4);
    REQUIRE(admission.Waiting() <= 6);
    REQUIRE(admission.Waiting() + running == open.size());
  }
}

TEST_CASE("the logged inputs of a decision match the state and the queue")
{
  // Guards against log lines whose values differ from those of the decision.
  Admission admission(AdmissionOptions{ 1, 4, false });
  admission.SetState(EndpointState::Ready, 1s);
  admission.Learn(40ms, true);
  admission.Decide({ 1, Check, "tenant" }, kWarm);
  admission.Decide({ 2, Check, "tenant" }, kWarm);
  const auto inputs = admission.Inputs({ 3, Check, "tenant" }, kWarm);
  CHECK(inputs.state == EndpointState::Ready);
  CHECK(inputs.stateAge == kWarm - 1s);
  CHECK(inputs.running == 1);
  CHECK(inputs.waiting == 1);
  CHECK(inputs.slots == 1);
  CHECK(inputs.predictedWait == 80ms);
  admission.SetState(EndpointState::Ready, kWarm + 1s);
  CHECK(admission.Inputs({ 3, Check, "tenant" }, kWarm + 2s).stateAge ==
        kWarm + 1s);
  admission.SetState(EndpointState::Draining, kWarm + 2s);
  CHECK(admission.Inputs({ 3, Check, "tenant" }, kWarm + 5s).stateAge == 3s);
}
