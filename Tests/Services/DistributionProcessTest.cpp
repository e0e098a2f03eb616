#include "Tests/Services/Mesh.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

using namespace teaselhold::tests;

namespace {

constexpr unsigned kLoadCount = 2000;
constexpr unsigned kPausedLoadCount = 800;
constexpr unsigned kLoadRate = 250;
constexpr std::size_t kRunsBeforeFault = 100;

Mesh::Node&
FindReader(Mesh& aMesh)
{
  Mesh::Node* reader = nullptr;
  REQUIRE(WaitUntil([&] {
    // The first node stays alive, because changes are applied there.
    for (std::size_t i = 1; i < aMesh.Size() && reader == nullptr; ++i) {
      reader = aMesh[i].node->IsRunning() && aMesh.IsReader(aMesh[i])
                 ? &aMesh[i]
                 : nullptr;
    }
    return reader != nullptr;
  }));
  return *reader;
}

void
CheckNoVersionWentBack(Mesh& aMesh)
{
  for (std::size_t i = 0; i < aMesh.Size(); ++i) {
    INFO(aMesh[i].name);
    CHECK(std::ranges::is_sorted(aMesh.VersionsOf(aMesh[i])));
  }
}

} // namespace

TEST_CASE("Killing a store reader under load stops no change")
{
  Mesh mesh(6);
  mesh.StartLoad(kLoadCount, kLoadRate);
  REQUIRE(mesh.WaitForRuns(kRunsBeforeFault));
  FindReader(mesh).node->Kill();
  REQUIRE(mesh.Apply(mesh[0], 2) == 0);
  CHECK(mesh.WaitForVersion(2));
  FindReader(mesh).node->Kill();
  REQUIRE(mesh.Apply(mesh[0], 3) == 0);
  CHECK(mesh.WaitForVersion(3));
  mesh.FinishLoad();
  mesh.CheckPromises();
  CheckNoVersionWentBack(mesh);
}

TEST_CASE("A store reader that is paused past its lease returns without harm")
{
  Mesh mesh(5);
  // Requests at the paused node hold their connections until the time limit.
  mesh.StartLoad(
    kPausedLoadCount, kLoadRate, { "--timeout_milliseconds=1000" });
  REQUIRE(mesh.WaitForRuns(kRunsBeforeFault));
  auto& reader = FindReader(mesh);
  reader.node->Signal(SIGSTOP);
  REQUIRE(mesh.Apply(mesh[0], 2) == 0);
  // The other nodes run the change while the reader is paused.
  CHECK(WaitUntil([&] { return mesh.VersionsOf(mesh[0]).back() == 2; }));
  mesh.FinishLoad();
  reader.node->Signal(SIGCONT);
  CHECK(mesh.WaitForVersion(2));
  REQUIRE(mesh.Apply(mesh[0], 3) == 0);
  CHECK(mesh.WaitForVersion(3));
  mesh.CheckPromises();
  CheckNoVersionWentBack(mesh);
}

TEST_CASE("A node restarted while the store is down runs no older version")
{
  Mesh mesh(4);
  REQUIRE(mesh.Apply(mesh[0], 2) == 0);
  REQUIRE(mesh.WaitForVersion(2));
  mesh.SetStoreFaults({ "--down" });
  mesh.RestartNode(mesh[1]);
  CHECK(mesh.WaitForVersion(2));
  CHECK(mesh.Apply(mesh[0], 3) == 1);
  mesh.SetStoreFaults({});
  REQUIRE(WaitUntil([&] { return mesh.Apply(mesh[0], 3) == 0; }));
  CHECK(mesh.WaitForVersion(3));
  CheckNoVersionWentBack(mesh);
}

TEST_CASE("A write whose answer is lost is accepted once")
{
  Mesh mesh(3);
  mesh.SetStoreFaults({ "--lose_write_answers=1" });
  CHECK(mesh.Apply(mesh[0], 2) == 0);
  CHECK(mesh.WaitForVersion(2));
  CheckNoVersionWentBack(mesh);
}

TEST_CASE("A slow store delays a change and does not break it")
{
  Mesh mesh(3);
  mesh.SetStoreFaults({ "--delay_milliseconds=400" });
  REQUIRE(mesh.Apply(mesh[0], 2) == 0);
  CHECK(mesh.WaitForVersion(2));
  CheckNoVersionWentBack(mesh);
}

TEST_CASE("A store restored from an old backup reverts no node")
{
  Mesh mesh(3);
  REQUIRE(mesh.Apply(mesh[0], 2) == 0);
  REQUIRE(mesh.WaitForVersion(2));
  mesh.SetStoreFaults(
    { "--restore_previous_value_of=teaselhold/configuration" });
  REQUIRE(mesh.Apply(mesh[1], 3) == 0);
  CHECK(mesh.WaitForVersion(3));
  CheckNoVersionWentBack(mesh);
}
