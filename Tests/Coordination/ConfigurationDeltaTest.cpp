#include "Coordination/ConfigurationDelta.h"

#include "Coordination/RandomSource.h"

#include <catch2/catch.hpp>

using namespace teaselhold::coordination;

namespace {

/// Returns a section that is long enough for a delta to be smaller than the
/// full text.
std::string
Section(std::uint64_t aName, std::uint64_t aVersion)
{
  return "[service s" + std::to_string(aName) + "]\n# " +
         std::string(200, static_cast<char>('a' + aVersion % 26)) + "\n\n";
}

std::string
Join(const std::vector<std::string>& aSections)
{
  std::string text = "; a comment before the first section\n";
  for (const auto& section : aSections) {
    text += section;
  }
  return text;
}

} // namespace

TEST_CASE("a delta restores inserted, moved, removed and changed sections byte "
          "for byte")
{
  RandomSource random(11);
  for (int round = 0; round < 200; ++round) {
    std::vector<std::string> sections;
    for (std::uint64_t i = 0; i < 20; ++i) {
      sections.push_back(Section(i, 0));
    }
    const auto base = Join(sections);
    std::swap(sections[random.NextBelow(20)], sections[random.NextBelow(20)]);
    sections.erase(sections.begin() +
                   static_cast<std::ptrdiff_t>(random.NextBelow(20)));
    sections.insert(sections.begin() +
                      static_cast<std::ptrdiff_t>(random.NextBelow(20)),
                    Section(20 + random.NextBelow(5), 1));
    const auto target = Join(sections) + (round % 2 == 0 ? "# end" : "");
    const auto delta = MakeDelta(base, target);
    REQUIRE(delta);
    const auto result = ApplyDelta(base, *delta);
    REQUIRE(result);
    CHECK(*result == target);
  }
}

TEST_CASE("the delta of a small change of a large text is small")
{
  std::vector<std::string> sections;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    sections.push_back(Section(i, 0));
  }
  const auto base = Join(sections);
  sections.insert(sections.begin() + 500, Section(2000, 0));
  const auto delta = MakeDelta(base, Join(sections));
  REQUIRE(delta);
  CHECK(delta->size() == 1);
}

TEST_CASE("a duplicate section or an unknown insertion point is rejected")
{
  const auto twice = Join({ Section(1, 0), Section(1, 1), Section(2, 0) });
  CHECK_FALSE(MakeDelta(twice, twice + Section(3, 0)));
  ConfigurationSections sections;
  sections.Add()->set_name("[service a]");
  sections[0].set_text("[service a]\n");
  sections[0].set_after("[service missing]");
  CHECK_FALSE(ApplyDelta(twice, sections));
}
