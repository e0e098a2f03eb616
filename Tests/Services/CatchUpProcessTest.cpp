#include "Tests/Services/PlatformMesh.h"

#include <catch2/catch.hpp>

using namespace teaselhold::tests;

namespace {

ScriptedAnswer
MakeAnswer(const std::string& aHead)
{
  return { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: " +
             FieldOf(aHead, "X-Request-Id") + "\r\n\r\nadded",
           ConnectionEnd::Kept };
}

} // namespace

TEST_CASE("A node that is cut off from the store takes a version from another")
{
  // Guards against a route that exists and is answered with 404 until then.
  PlatformMesh mesh(MakeAnswer);
  REQUIRE(mesh.Send(true, "GET", "/added/").Status() == 404);
  mesh.CutStoreOfFarNode();
  mesh.WriteNewerConfiguration();
  const bool isServed = WaitUntil([&] {
    // Nodes tell each other of versions in the calls that they carry.
    mesh.Send(true, "GET", "/ready/");
    return mesh.Send(true, "GET", "/added/").Body() == "added";
  });
  INFO(mesh.Logs());
  CHECK(isServed);
  // Logs are written later than they are made.
  CHECK(WaitUntil(
    [&] { return mesh.Logs().find("source=peer") != std::string::npos; }));
}
