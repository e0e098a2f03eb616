#include "Services/teaselholdd/LogWriter.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <unistd.h>

using namespace teaselhold::daemon;

TEST_CASE("lines arrive whole and in order")
{
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  {
    LogWriter writer(ends[1]);
    for (int i = 0; i < 100; ++i) {
      writer.Write("line " + std::to_string(i) + "\n");
    }
  }
  ::close(ends[1]);
  std::string text;
  std::array<char, 4096> buffer{};
  for (ssize_t size = 1; size > 0;) {
    size = ::read(ends[0], buffer.data(), buffer.size());
    text.append(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  }
  ::close(ends[0]);
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    expected += "line " + std::to_string(i) + "\n";
  }
  CHECK(text == expected);
}

TEST_CASE("a reader that never reads makes nobody wait, and drops are counted")
{
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  {
    LogWriter writer(ends[1]);
    const std::string line(1000, 'x');
    // More than the pipe and the ring hold.
    for (int i = 0; i < 20000; ++i) {
      writer.Write(line);
    }
    CHECK(writer.TakeDropped() > 0);
    CHECK(writer.TakeDropped() == 0);
  }
  // The read end stays open, so that the writer's thread stays blocked.
}
