#include "Services/teaselholdd/SettingsReload.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace teaselhold::daemon;

namespace {

constexpr const char* kText = R"([node]
name = visits-1
service = visits
data_centre = one
region = one
caller_address = 127.0.0.1:7001
data_address = 127.0.0.1:7002
control_address = 127.0.0.1:7003
admin_address = 127.0.0.1:7004
seeds = 127.0.0.1:7003
[store]
address = 127.0.0.1:7000
[upstream]
address = 127.0.0.1:7100
)";

/// A settings file, and what the reload took from it.
class Fixture
{
public:
  Fixture()
  {
    auto folder =
      (std::filesystem::temp_directory_path() / "teaselhold-XXXXXX").string();
    folder_ = mkdtemp(folder.data());
    Write(kText);
    const auto settings = ParseSettings(kText);
    REQUIRE(settings);
    reload_.emplace(
      Path(), kText, settings->settings, [this](const Settings& aSettings) {
        taken_.push_back(aSettings);
      });
  }
  ~Fixture() { std::filesystem::remove_all(folder_); }

  std::string Path() const { return folder_ + "/node.ini"; }
  void Write(const std::string& aText) const { std::ofstream(Path()) << aText; }
  void PollTwice()
  {
    reload_->Poll();
    reload_->Poll();
  }

  std::string folder_;
  std::vector<Settings> taken_;
  std::optional<SettingsReload> reload_;
};

} // namespace

TEST_CASE("A settings file that changes without a signal is noticed")
{
  Fixture fixture;
  fixture.PollTwice();
  CHECK(fixture.taken_.empty());
  fixture.Write(std::string(kText) +
                "drain = 3s\n[retry]\nratio = 0.3\nslack = 7\nwindow = 4s\n");
  fixture.PollTwice();
  REQUIRE(fixture.taken_.size() == 1);
  const auto& taken = fixture.taken_.front();
  CHECK(taken.upstreamDrain == std::chrono::seconds(3));
  CHECK(taken.retryRatio == 0.3);
  CHECK(taken.retrySlack == 7);
  CHECK(taken.retryWindow == std::chrono::seconds(4));
  fixture.PollTwice();
  CHECK(fixture.taken_.size() == 1);
}

TEST_CASE("A settings file that is being written is left alone")
{
  // Guards against defaults for the keys that are not written yet.
  Fixture fixture;
  fixture.Write(std::string(kText) + "drain = 3s\n");
  fixture.reload_->Poll();
  fixture.Write(std::string(kText) + "drain = 3s\n[retry]\nslack = 7\n");
  fixture.reload_->Poll();
  CHECK(fixture.taken_.empty());
  fixture.reload_->Poll();
  REQUIRE(fixture.taken_.size() == 1);
  CHECK(fixture.taken_.front().retrySlack == 7);
}

TEST_CASE("A settings file with errors changes nothing")
{
  Fixture fixture;
  for (const char* text : { "", "nonsense", "[retry]\nslack = many\n" }) {
    fixture.Write(text);
    fixture.PollTwice();
    fixture.reload_->Read();
  }
  std::filesystem::remove(fixture.Path());
  fixture.PollTwice();
  fixture.reload_->Read();
  CHECK(fixture.taken_.empty());
  fixture.Write(std::string(kText) + "[retry]\nslack = 7\n");
  fixture.reload_->Read();
  CHECK(fixture.taken_.size() == 1);
}

TEST_CASE("Settings that only a new process takes stay in force")
{
  Fixture fixture;
  auto text = std::string(kText);
  text.replace(text.find("7001"), 4, "8001");
  fixture.Write(text + "slots = 3\n[log]\nlevel = warning\n");
  fixture.reload_->Read();
  REQUIRE(fixture.taken_.size() == 1);
  CHECK(fixture.taken_.front().callerAddress == "127.0.0.1:7001");
  CHECK(fixture.taken_.front().upstreamSlots == 12);
  CHECK(fixture.taken_.front().logLevel == "warning");
}
