#include "Protocol/ConfigurationText.h"
#include "Protocol/IniDocument.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace teaselhold::protocol;

namespace {

std::string
ErrorsOf(std::string_view aText)
{
  const auto compiled = CompileConfiguration(aText, 1);
  return compiled ? "" : FormatErrors("mesh.ini", compiled.error());
}

std::string
ReadExample()
{
  std::ifstream file(TEASELHOLD_BASE_FOLDER "/budapest.mesh.ini");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

TEST_CASE("the example text compiles and routes by the longest prefix")
{
  const auto compiled = CompileConfiguration(ReadExample(), 7);
  REQUIRE(compiled);
  const auto& configuration = **compiled;
  CHECK(configuration.GetGeneration() == 7);
  CHECK(configuration.FindRoute("GET", "/passes/7?x=1")->name == "check-pass");
  CHECK(configuration.FindRoute("GET", "/passesx") == nullptr);
  CHECK(configuration.FindRoute("DELETE", "/passes") == nullptr);
}

TEST_CASE("an undeclared dependency is refused with its line and a suggestion")
{
  CHECK(ErrorsOf("[service lounges]\n[service visits]\ndepends = lounge\n") ==
        "mesh.ini:3: service \"visits\" depends on \"lounge\", which does not "
        "exist; did you mean \"lounges\"?\n");
}

TEST_CASE("a text that the store cannot hold is refused before it is written")
{
  std::string text = ReadExample();
  CHECK(CompileSubmission(text, 1));
  while (text.size() <= kMaxSubmissionBytes) {
    text += "# A comment that makes the text longer.\n";
  }
  // A version that the store holds already is in force whatever its size.
  CHECK(CompileConfiguration(text, 1));
  const auto refused = CompileSubmission(text, 1);
  REQUIRE_FALSE(refused);
  CHECK(FormatErrors("mesh.ini", refused.error())
          .find("at most 1032192 are allowed") != std::string::npos);
}

TEST_CASE("all errors of a text are reported at once")
{
  const auto errors =
    ErrorsOf("[service a]\nentry = maybe\ncolour = red\n[route r]\n"
             "match = FETCH /x\nservice = b\nclass = first\nidempotent = no\n"
             "timeout = 5\n");
  CHECK(errors.find("mesh.ini:2: bad value \"maybe\"") != std::string::npos);
  CHECK(errors.find("mesh.ini:3: unknown key \"colour\"") != std::string::npos);
  CHECK(errors.find("mesh.ini:5: bad value") != std::string::npos);
  CHECK(errors.find("mesh.ini:6: route \"r\" names") != std::string::npos);
  CHECK(errors.find("mesh.ini:7: bad value \"first\"") != std::string::npos);
  CHECK(errors.find("mesh.ini:9: bad value \"5\"") != std::string::npos);
}

TEST_CASE("a dependency cycle is refused unless the mesh allows cycles")
{
  const std::string cycle =
    "[service a]\ndepends = b\n[service b]\ndepends = a\n";
  CHECK(ErrorsOf(cycle).find("cycle a -> b -> a") != std::string::npos);
  CHECK(ErrorsOf(cycle + "[mesh]\ncycles = allowed\n").empty());
}

TEST_CASE("a service that is defined twice is refused with its line")
{
  CHECK(ErrorsOf("[service a]\n[service a]\n") ==
        "mesh.ini:2: section [service a] is defined twice\n");
}

TEST_CASE("noise of 2 MB is refused by its size, smaller noise line by line")
{
  const std::string large(2 * 1024 * 1024, '\x01');
  const auto refused = CompileSubmission(large, 1);
  REQUIRE_FALSE(refused);
  REQUIRE(refused.error().size() == 1);
  CHECK(refused.error()[0].message.find("the text has 2097152 bytes") !=
        std::string::npos);
  const auto tooLarge =
    ErrorsOf(std::string(IniDocument::kMaxBytes + 1, '\x01'));
  CHECK(tooLarge.find("the text has 8388609 bytes") != std::string::npos);
  std::string noise;
  for (int i = 0; i < 20000; ++i) {
    noise += static_cast<char>(i * 7919 % 251);
    noise += i % 17 == 0 ? "\n" : "";
  }
  const auto compiled = CompileConfiguration(noise, 1);
  REQUIRE_FALSE(compiled);
  CHECK(compiled.error().size() <= IniDocument::kMaxErrors);
}

TEST_CASE("syntax errors do not hide the other errors of a text")
{
  CHECK(ErrorsOf("[service a\nentry = maybe\n[service b]\nentry = maybe\n"
                 "[route r]\nmatch\nservice = a\nclass = x\n") ==
        "mesh.ini:1: expected \"]\" at the end of the section name\n"
        "mesh.ini:4: bad value \"maybe\" for \"entry\"; expected \"yes\" or "
        "\"no\"\n"
        "mesh.ini:6: expected \"key = value\" or \"[section]\"\n"
        "mesh.ini:8: bad value \"x\" for \"class\"; expected order, check, "
        "lookup, upload or batch\n");
}

TEST_CASE("a misspelled key or kind of section is refused with a suggestion")
{
  CHECK(ErrorsOf("[service a]\ndepend = b\n")
          .ends_with("expected depends, entry; did you mean \"depends\"?\n"));
  CHECK(ErrorsOf("[service a]\n[rout r]\n")
          .ends_with("; did you mean \"route\"?\n"));
}

TEST_CASE("an empty text is refused, because it would end all traffic")
{
  CHECK(ErrorsOf("; nothing here\n") ==
        "mesh.ini: the text defines no service; expected at least one "
        "[service NAME]\n");
}
