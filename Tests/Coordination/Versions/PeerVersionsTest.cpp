#include "Coordination/Versions/PeerVersions.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::Duration kUsualTime = 1s;

} // namespace

TEST_CASE("a missing version is asked for although newer ones follow it")
{
  // Guards against a wait that begins anew with each version.
  PeerVersions versions;
  versions.OnSeen(5, 0s);
  versions.OnSeen(6, 600ms);
  CHECK_FALSE(versions.TakeCheckDue(4, kUsualTime, 900ms));
  versions.OnSeen(7, 950ms);
  CHECK(versions.TakeCheckDue(4, kUsualTime, 1s));
}

TEST_CASE("a version that came in time starts no wait for the next one")
{
  PeerVersions versions;
  versions.OnSeen(5, 0s);
  versions.OnSeen(6, 800ms);
  CHECK_FALSE(versions.TakeCheckDue(5, kUsualTime, 1700ms));
  CHECK(versions.TakeCheckDue(5, kUsualTime, 1800ms));
}

TEST_CASE("a version that stays missing is asked for less and less often")
{
  PeerVersions versions;
  versions.OnSeen(5, 0s);
  CHECK(versions.TakeCheckDue(4, kUsualTime, 1s));
  CHECK_FALSE(versions.TakeCheckDue(4, kUsualTime, 1900ms));
  CHECK(versions.TakeCheckDue(4, kUsualTime, 2s));
  CHECK_FALSE(versions.TakeCheckDue(4, kUsualTime, 3900ms));
  CHECK(versions.TakeCheckDue(4, kUsualTime, 4s));
}

TEST_CASE("progress makes the next missing version due after the usual time")
{
  PeerVersions versions;
  versions.OnSeen(5, 0s);
  CHECK(versions.TakeCheckDue(4, kUsualTime, 1s));
  CHECK(versions.TakeCheckDue(4, kUsualTime, 2s));
  versions.OnSeen(6, 2s);
  CHECK_FALSE(versions.TakeCheckDue(5, kUsualTime, 2900ms));
  CHECK(versions.TakeCheckDue(5, kUsualTime, 3s));
}

TEST_CASE("a node that was told of a newer version than it got asks again soon")
{
  // Guards against a wait that has grown for a version before.
  PeerVersions versions;
  versions.OnSeen(8, 0s);
  CHECK(versions.TakeCheckDue(4, kUsualTime, 1s));
  CHECK(versions.TakeCheckDue(4, kUsualTime, 2s));
  CHECK_FALSE(versions.TakeCheckDue(4, kUsualTime, 2100ms));
  // The node that it asked had only this one.
  CHECK(versions.TakeCheckDue(6, kUsualTime, 2200ms));
}

TEST_CASE("a long series of versions keeps the time of the oldest missing one")
{
  // Guards against a list without a bound.
  PeerVersions versions;
  for (unsigned i = 0; i < 1000; ++i) {
    versions.OnSeen(5 + i, i * 1ms);
  }
  CHECK(versions.Newest() == 1004);
  CHECK_FALSE(versions.TakeCheckDue(4, kUsualTime, 999ms));
  CHECK(versions.TakeCheckDue(4, kUsualTime, 1s));
  CHECK_FALSE(versions.TakeCheckDue(1004, kUsualTime, 1h));
}
