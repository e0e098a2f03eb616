#include "Utilities/teaselctl/LineDifference.h"

#include <catch2/catch.hpp>
#include <random>
#include <sstream>
#include <vector>

using teaselhold::tool::LineDifference;

namespace {

std::string
Compare(const std::string& aOld, const std::string& aNew)
{
  return LineDifference(aOld, aNew, "old", "new");
}

std::string
Numbers(int aFirst, int aLast)
{
  std::string text;
  for (int i = aFirst; i <= aLast; ++i) {
    text += std::to_string(i) + "\n";
  }
  return text;
}

/// Rebuilds one side from a difference whose hunks cover the whole text.
std::string
Side(const std::string& aDifference, char aSign)
{
  std::istringstream lines(aDifference);
  std::string text;
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    const bool isHeader = number++ < 2 || line[0] == '@';
    if (!isHeader && (line[0] == ' ' || line[0] == aSign)) {
      text += line.substr(1) + "\n";
    }
  }
  return text;
}

} // namespace

TEST_CASE("LineDifference reports no difference between equal texts")
{
  CHECK(Compare("", "").empty());
  CHECK(Compare("a\nb\n", "a\nb\n").empty());
}

TEST_CASE("LineDifference hunks name the wrong lines")
{
  CHECK(Compare(Numbers(1, 20), Numbers(1, 9) + "ten\n" + Numbers(11, 20)) ==
        "--- old\n+++ new\n@@ -7,7 +7,7 @@\n 7\n 8\n 9\n-10\n+ten\n 11\n 12\n"
        " 13\n");
  CHECK(Compare("", "a\n") == "--- old\n+++ new\n@@ -0,0 +1,1 @@\n+a\n");
  CHECK(Compare("a\n", "") == "--- old\n+++ new\n@@ -1,1 +0,0 @@\n-a\n");
}

TEST_CASE("LineDifference keeps distant changes in separate hunks")
{
  const auto text = Compare(Numbers(1, 40), Numbers(2, 39));
  CHECK(text == "--- old\n+++ new\n@@ -1,4 +1,3 @@\n-1\n 2\n 3\n 4\n"
                "@@ -37,4 +36,3 @@\n 37\n 38\n 39\n-40\n");
}

TEST_CASE("LineDifference loses or invents lines of random texts")
{
  std::mt19937 random(20261204);
  for (int round = 0; round < 300; ++round) {
    // Few different lines, and no context shorter than the whole text.
    std::string texts[2];
    for (auto& text : texts) {
      const auto size = random() % 7;
      for (std::size_t i = 0; i < size; ++i) {
        text += std::string(1, static_cast<char>('a' + random() % 3)) + "\n";
      }
    }
    const auto difference = Compare(texts[0], texts[1]);
    CAPTURE(texts[0], texts[1], difference);
    if (texts[0] == texts[1]) {
      CHECK(difference.empty());
    } else if (texts[0].size() + texts[1].size() < 12) {
      CHECK(Side(difference, '-') == texts[0]);
      CHECK(Side(difference, '+') == texts[1]);
    }
  }
}

TEST_CASE("LineDifference of large different texts ends and shows both")
{
  const auto text = Compare(Numbers(1, 5000), Numbers(10001, 15000));
  CHECK(text.find("@@ -1,5000 +1,5000 @@") != std::string::npos);
}
