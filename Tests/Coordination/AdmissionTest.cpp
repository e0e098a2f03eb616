#include "Coordination/Admission.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using state::EndpointState;
using state::RequestClass;

namespace {

constexpr state::Instant kWarm = 60s;

Admission
MakeAdmission(std::uint32_t aSlots, std::uint32_t aQueueLimit)
{
  Admission admission(AdmissionOptions{ aSlots, aQueueLimit, false });
  admission.SetState(EndpointState::Ready, 0s);
  return admission;
}

AdmissionRequest
MakeRequest(std::uint64_t aId,
            RequestClass aClass,
            state::Instant aDeadline = kWarm + 1s)
{
  return { aId, aClass, "tenant", 0, aDeadline };
}

std::optional<NotRunReason>
Refused(const AdmissionDecision& aDecision)
{
  const auto* notRun = std::get_if<NotRun>(&aDecision);
  return notRun == nullptr ? std::nullopt : std::optional(notRun->reason);
}

bool
Waits(const AdmissionDecision& aDecision)
{
  return std::holds_alternative<Wait>(aDecision);
}

bool
IsAdmitted(const AdmissionDecision& aDecision)
{
  return std::holds_alternative<Admit>(aDecision);
}

} // namespace

TEST_CASE("waiting requests are released by class, then by arrival")
{
  auto admission = MakeAdmission(1, 10);
  REQUIRE(
    IsAdmitted(admission.Decide(MakeRequest(1, RequestClass::Lookup), kWarm)));
  const std::vector<RequestClass> arrivals{
    RequestClass::Batch, RequestClass::Lookup, RequestClass::Order,
    RequestClass::Check, RequestClass::Order,  RequestClass::Upload
  };
  std::uint64_t id = 2;
  for (const auto requestClass : arrivals) {
    CHECK(Waits(admission.Decide(MakeRequest(id++, requestClass), kWarm)));
  }
  std::vector<std::uint64_t> order;
  std::uint64_t running = 1;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const auto releases = admission.Finish(running, kWarm + 1ms);
    REQUIRE(releases.size() == 1);
    CHECK_FALSE(releases[0].refused);
    running = releases[0].id;
    order.push_back(running);
  }
  CHECK(order == std::vector<std::uint64_t>{ 4, 6, 5, 3, 7, 2 });
}

TEST_CASE("a newcomer of a lower class does not overtake a waiting order")
{
  auto admission = MakeAdmission(4, 10);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    admission.Decide(MakeRequest(id, RequestClass::Lookup), kWarm);
  }
  CHECK(Waits(admission.Decide(MakeRequest(5, RequestClass::Order), kWarm)));
  CHECK(Waits(admission.Decide(MakeRequest(6, RequestClass::Lookup), kWarm)));
  const auto releases = admission.Finish(1, kWarm);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 5);
}

TEST_CASE("a full queue sheds batches first and never an order for a lookup")
{
  auto admission = MakeAdmission(1, 3);
  admission.Decide(MakeRequest(1, RequestClass::Order), kWarm);
  admission.Decide(MakeRequest(2, RequestClass::Order), kWarm);
  admission.Decide(MakeRequest(3, RequestClass::Lookup), kWarm);
  admission.Decide(MakeRequest(4, RequestClass::Batch), kWarm);
  const auto displacing =
    admission.Decide(MakeRequest(5, RequestClass::Order), kWarm);
  REQUIRE(Waits(displacing));
  CHECK(std::get<Wait>(displacing).displaced == 4);
  CHECK(Refused(admission.Decide(MakeRequest(6, RequestClass::Lookup),
                                 kWarm)) == NotRunReason::Full);
  const auto next =
    admission.Decide(MakeRequest(7, RequestClass::Order), kWarm);
  REQUIRE(Waits(next));
  CHECK(std::get<Wait>(next).displaced == 3);
  CHECK(Refused(admission.Decide(MakeRequest(8, RequestClass::Order), kWarm)) ==
        NotRunReason::Full);
  CHECK(admission.Waiting() == 3);
}

TEST_CASE("batches and uploads cannot occupy all slots")
{
  auto admission = MakeAdmission(8, 0);
  unsigned admitted = 0;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    const auto requestClass =
      id % 2 == 0 ? RequestClass::Batch : RequestClass::Upload;
    admitted +=
      IsAdmitted(admission.Decide(MakeRequest(id, requestClass), kWarm)) ? 1
                                                                         : 0;
  }
  CHECK(admitted == 6);
  CHECK(
    IsAdmitted(admission.Decide(MakeRequest(9, RequestClass::Order), kWarm)));
}

TEST_CASE("a request never waits beyond its deadline, a lookup never long")
{
  auto admission = MakeAdmission(1, 10);
  admission.Decide(MakeRequest(1, RequestClass::Order), kWarm);
  const auto lookup =
    admission.Decide(MakeRequest(2, RequestClass::Lookup), kWarm);
  CHECK(std::get<Wait>(lookup).until == kWarm + 100ms);
  const auto order =
    admission.Decide(MakeRequest(3, RequestClass::Order, kWarm + 500ms), kWarm);
  CHECK(std::get<Wait>(order).until == kWarm + 490ms);
  CHECK(
    Refused(admission.Decide(MakeRequest(4, RequestClass::Order, kWarm + 5ms),
                             kWarm)) == NotRunReason::Full);
  CHECK(Refused(admission.Decide(MakeRequest(5, RequestClass::Order, kWarm),
                                 kWarm)) == NotRunReason::DeadlineExceeded);
  const auto first = admission.Expire(kWarm + 100ms);
  REQUIRE(first.size() == 1);
  CHECK(first[0].id == 2);
  CHECK(first[0].refused == NotRunReason::Full);
  // A slot that frees too late does not deliver the request.
  const auto second = admission.Finish(1, kWarm + 600ms);
  REQUIRE(second.size() == 1);
  CHECK(second[0].refused == NotRunReason::DeadlineExceeded);
}

TEST_CASE("one tenant cannot use the share of another")
{
  auto admission = MakeAdmission(4, 4);
  auto request = MakeRequest(1, RequestClass::Lookup);
  request.tenantLimit = 2;
  CHECK(IsAdmitted(admission.Decide(request, kWarm)));
  request.id = 2;
  CHECK(IsAdmitted(admission.Decide(request, kWarm)));
  request.id = 3;
  CHECK(Refused(admission.Decide(request, kWarm)) == NotRunReason::TenantLimit);
  request.tenant = "another";
  CHECK(IsAdmitted(admission.Decide(request, kWarm)));
  admission.Finish(1, kWarm);
  request = MakeRequest(4, RequestClass::Lookup);
  request.tenantLimit = 2;
  CHECK(IsAdmitted(admission.Decide(request, kWarm)));
}

TEST_CASE("a cold upstream is not flooded")
{
  auto admission = MakeAdmission(12, 0);
  CHECK(admission.UsableSlots(0s) == 2);
  CHECK(admission.UsableSlots(5s) == 7);
  CHECK(admission.UsableSlots(10s) == 12);
  admission.SetState(EndpointState::Draining, 20s);
  admission.SetState(EndpointState::Ready, 21s);
  CHECK(admission.UsableSlots(21s) == 12);
  admission.SetState(EndpointState::Starting, 30s);
  admission.SetState(EndpointState::Ready, 31s);
  CHECK(admission.UsableSlots(31s) == 2);
}

TEST_CASE("a growing number of slots lets waiting requests in")
{
  auto admission = MakeAdmission(12, 4);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    admission.Decide(MakeRequest(id, RequestClass::Order, 30s), 0s);
  }
  CHECK(admission.Expire(900ms).empty());
  const auto releases = admission.Expire(1s);
  REQUIRE(releases.size() == 1);
  CHECK_FALSE(releases[0].refused);
}

TEST_CASE("a draining upstream finishes what waits and takes nothing new")
{
  auto admission = MakeAdmission(1, 4);
  admission.Decide(MakeRequest(1, RequestClass::Order), kWarm);
  admission.Decide(MakeRequest(2, RequestClass::Order), kWarm);
  CHECK(admission.SetState(EndpointState::Draining, kWarm).empty());
  CHECK(Refused(admission.Decide(MakeRequest(3, RequestClass::Order), kWarm)) ==
        NotRunReason::Draining);
  const auto releases = admission.Finish(1, kWarm);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 2);
  CHECK_FALSE(releases[0].refused);
}

TEST_CASE("requests that wait for a crashed upstream are refused as not run")
{
  auto admission = MakeAdmission(1, 4);
  admission.Decide(MakeRequest(1, RequestClass::Order), kWarm);
  admission.Decide(MakeRequest(2, RequestClass::Order), kWarm);
  const auto releases = admission.SetState(EndpointState::Starting, kWarm);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 2);
  CHECK(releases[0].refused == NotRunReason::Starting);
  CHECK(admission.InFlight() == 1);
}

TEST_CASE("an answer that says shed is an answer unless the contract says more")
{
  const Admission plain(AdmissionOptions{ 1, 0, false });
  const Admission trusting(AdmissionOptions{ 1, 0, true });
  CHECK(std::holds_alternative<Answered>(plain.ClassifyAnswer(503, true)));
  CHECK(std::holds_alternative<NotRun>(trusting.ClassifyAnswer(503, true)));
  CHECK(std::holds_alternative<Answered>(trusting.ClassifyAnswer(503, false)));
  CHECK(std::holds_alternative<Answered>(trusting.ClassifyAnswer(500, true)));
}

TEST_CASE("no sequence of events exceeds the slots or decides a request twice")
{
  std::mt19937 random(20261204);
  Admission admission(AdmissionOptions{ 4, 6, false });
  admission.SetState(EndpointState::Ready, 0s);
  std::map<std::uint64_t, bool> open;
  state::Instant now{ 0 };
  const auto take = [&](const std::vector<AdmissionRelease>& aReleases) {
    for (const auto& release : aReleases) {
      const auto found = open.find(release.id);
      REQUIRE(found != open.end());
      REQUIRE_FALSE(found->second);
      found->second = true;
      if (release.refused) {
        open.erase(found);
      }
    }
  };
  for (std::uint64_t id = 1; id < 20000; ++id) {
    now += state::Duration(random() % 20000);
    const auto requestClass = static_cast<RequestClass>(random() % 5);
    const auto decision =
      admission.Decide({ id, requestClass, "t", 0, now + 200ms }, now);
    if (!std::holds_alternative<NotRun>(decision)) {
      open[id] = std::holds_alternative<Admit>(decision);
    }
    if (const auto* wait = std::get_if<Wait>(&decision)) {
      if (wait->displaced) {
        REQUIRE(open.erase(*wait->displaced) == 1);
      }
    }
    if (!open.empty() && random() % 3 != 0) {
      const auto ended =
        std::next(open.begin(), static_cast<long>(random() % open.size()))
          ->first;
      open.erase(ended);
      take(admission.Finish(ended, now));
    }
    take(admission.Expire(now));
    if (random() % 50 == 0) {
      take(admission.SetState(static_cast<EndpointState>(random() % 3), now));
    }
    const auto running =
      std::ranges::count_if(open, [](const auto& aRow) { return aRow.second; });
    REQUIRE(admission.InFlight() == static_cast<std::size_t>(running));
    REQUIRE(admission.InFlight() <= 4);
    REQUIRE(admission.Waiting() <= 6);
    REQUIRE(admission.Waiting() + admission.InFlight() == open.size());
  }
}
