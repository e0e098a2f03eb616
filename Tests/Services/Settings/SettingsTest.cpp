#include "Services/teaselholdd/Settings.h"
#include "Protocol/ConfigurationText.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace teaselhold;
using daemon::ParseSettings;

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

const std::string kGood = "[node]\n"
                          "name = lounges-1\n"
                          "service = lounges\n"
                          "data_centre = budapest-1\n"
                          "region = hungary\n"
                          "caller_address = 127.0.0.1:7400\n"
                          "data_address = 127.0.0.1:7401\n"
                          "control_address = 127.0.0.1:7402\n"
                          "admin_address = 127.0.0.1:7404\n"
                          "seeds = 127.0.0.1:7502\n"
                          "[store]\n"
                          "address = 127.0.0.1:7000\n"
                          "[upstream]\n"
                          "address = 127.0.0.1:7100\n";

/// The settings with one line replaced.
std::string
With(const std::string& aOld, const std::string& aNew)
{
  auto text = kGood;
  const auto place = text.find(aOld);
  REQUIRE(place != std::string::npos);
  return text.replace(place, aOld.size(), aNew);
}

std::string
ErrorsOf(const std::string& aText)
{
  const auto checked = ParseSettings(aText);
  return checked ? "" : protocol::FormatErrors("node.ini", checked.error());
}

std::string
WarningsOf(const std::string& aText)
{
  const auto checked = ParseSettings(aText);
  REQUIRE(checked);
  return protocol::FormatErrors("node.ini", checked->warnings);
}

} // namespace

TEST_CASE("an example under Base that no longer compiles is found")
{
  std::size_t settings = 0;
  std::size_t texts = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(TEASELHOLD_BASE_FOLDER)) {
    const auto name = entry.path().filename().string();
    CAPTURE(name);
    if (name.ends_with(".node.ini")) {
      ++settings;
      CHECK(ErrorsOf(ReadFile(entry.path())).empty());
      CHECK(WarningsOf(ReadFile(entry.path())).empty());
    } else if (name.ends_with(".mesh.ini")) {
      ++texts;
      const auto compiled =
        protocol::CompileConfiguration(ReadFile(entry.path()), 1);
      CHECK(compiled);
    }
  }
  CHECK(settings == 2);
  CHECK(texts == 2);
}

TEST_CASE("an example node of a service that its text lacks is found")
{
  for (const std::string place : { "budapest", "dakar" }) {
    const std::string base = TEASELHOLD_BASE_FOLDER "/" + place;
    const auto checked = ParseSettings(ReadFile(base + ".node.ini"));
    const auto text =
      protocol::CompileConfiguration(ReadFile(base + ".mesh.ini"), 1);
    REQUIRE((checked && text));
    CHECK((*text)->FindService(checked->settings.service) != nullptr);
  }
}

TEST_CASE("a misspelled settings key is refused with a suggestion, not ignored")
{
  CHECK(ErrorsOf(With("seeds", "seds")) ==
        "node.ini:1: key \"seeds\" is missing in [node]\n"
        "node.ini:10: unknown key \"seds\" in [node]; expected name, service, "
        "data_centre, region, caller_address, data_address, control_address, "
        "admin_address, metrics_address, seeds, environment, ready_address, "
        "ready_path, announcement_address, link_megabits, core_share, "
        "drain_timeout, apply_bound, distribution; "
        "did you mean \"seeds\"?\n");
  CHECK(ErrorsOf(kGood + "[logs]\nlevel = info\n") ==
        "node.ini:15: unknown section [logs]; expected the sections node, "
        "store, upstream, retry, host, accounts, rollouts, log; did you mean "
        "\"log\"?\n");
}

TEST_CASE("strict revocation that could not be kept is refused")
{
  // Guards against settings that ask for a bound and silently get none, or
  // against a node that refuses every key because nothing vouches for it.
  CHECK(ErrorsOf(kGood + "[accounts]\nrevoke_strictly = yes\n"
                         "revoke_bound = 5s\n") ==
        "node.ini:16: \"revoke_strictly = yes\" needs \"distribution = "
        "direct\"\n");
  const auto direct = With("name =", "distribution = direct\nname =");
  CHECK(ErrorsOf(direct + "[accounts]\nrevoke_strictly = yes\n") ==
        "node.ini:17: \"revoke_strictly = yes\" needs \"revoke_bound\"\n");
  CHECK(ErrorsOf(direct + "[accounts]\nrevoke_strictly = yes\n"
                          "revoke_bound = 5s\n") == "");
}

TEST_CASE("a missing settings key is reported with its section's line")
{
  CHECK(ErrorsOf(With("address = 127.0.0.1:7100\n", "slots = 3\n")) ==
        "node.ini:13: key \"address\" is missing in [upstream]\n");
  CHECK(ErrorsOf(With("[upstream]\naddress = 127.0.0.1:7100\n", "")) ==
        "node.ini: section [upstream] is missing\n");
}

TEST_CASE("a bad settings value is refused with what was expected")
{
  const auto [line, expected] = GENERATE(table<std::string, std::string>(
    { { "slots = 0", "a whole number from 1 to 10000" },
      { "slots = 12x", "a whole number from 1 to 10000" },
      { "probe_interval = 5", "a time from 1ms to 3600s" },
      { "probe_interval = 5 s", "a time from 1ms to 3600s" },
      { "probe_interval = 3601s", "a time from 1ms to 3600s" },
      { "probe_interval = 0s", "a time from 1ms to 3600s" },
      { "probe_interval = 9999999999ms", "a time from 1ms to 3600s" },
      { "health_path = health", "a path such as" } }));
  const auto errors = ErrorsOf(kGood + line + "\n");
  CAPTURE(errors);
  CHECK(errors.starts_with("node.ini:15: bad value"));
  CHECK(errors.find("expected " + expected) != std::string::npos);
}

TEST_CASE("bad addresses and names in settings are refused")
{
  const auto [old, bad] = GENERATE(table<std::string, std::string>(
    { { "caller_address = 127.0.0.1:7400", "caller_address = localhost:80" },
      { "caller_address = 127.0.0.1:7400", "caller_address = 127.0.0.1:0" },
      { "seeds = 127.0.0.1:7502", "seeds = 127.0.0.1:7502,," },
      { "name = lounges-1", "name = lounges 1" },
      { "region = hungary", "region =" } }));
  CAPTURE(bad);
  CHECK(ErrorsOf(With(old, bad)).find("bad value") != std::string::npos);
}

TEST_CASE("syntax errors do not hide the other errors of settings")
{
  const auto errors =
    ErrorsOf(With("region = hungary", "region") + "slots = 0\n");
  CHECK(errors.find("node.ini:5: expected \"key = value\"") !=
        std::string::npos);
  CHECK(errors.find("node.ini:15: bad value \"0\"") != std::string::npos);
  CHECK(errors.find("is missing") == std::string::npos);
}

TEST_CASE("two addresses with the same port are refused before the start")
{
  CHECK(ErrorsOf(With("admin_address = 127.0.0.1:7404",
                      "admin_address = 127.0.0.1:7401")) ==
        "node.ini:9: \"admin_address\" 127.0.0.1:7401 uses the same port as "
        "\"data_address\" in line 7; expected a port of its own\n");
  CHECK(ErrorsOf(With("caller_address = 127.0.0.1:7400",
                      "caller_address = 0.0.0.0:7100"))
          .find("\"upstream.address\" 127.0.0.1:7100 uses the same port") !=
        std::string::npos);
  CHECK(ErrorsOf(With("caller_address = 127.0.0.1:7400",
                      "caller_address = 127.0.0.2:7401"))
          .empty());
}

TEST_CASE("a port of another host's store is not mistaken for an own one")
{
  auto text =
    With("caller_address = 127.0.0.1:7400", "caller_address = 0.0.0.0:7000");
  text.replace(text.find("127.0.0.1:7000"), 14, "10.0.0.5:7000");
  CHECK(ErrorsOf(text).empty());
}

TEST_CASE("an announced address that no other node can use is refused")
{
  CHECK(ErrorsOf(
          With("data_address = 127.0.0.1:7401", "data_address = 0.0.0.0:7401"))
          .find("node.ini:7: \"data_address\" 0.0.0.0:7401 is announced") == 0);
}

TEST_CASE("seeds that name only this node are a warning, not an error")
{
  CHECK(WarningsOf(kGood).empty());
  CHECK(WarningsOf(With("seeds = 127.0.0.1:7502", "seeds = 127.0.0.1:7402"))
          .find("node.ini:10: \"seeds\" name only this node") == 0);
}

TEST_CASE("an admin address that others can reach is a warning")
{
  CHECK(WarningsOf(With("admin_address = 127.0.0.1:7404",
                        "admin_address = 10.0.0.1:7404"))
          .find("node.ini:9: \"admin_address\" 10.0.0.1:7404 is not on "
                "loopback") == 0);
}
