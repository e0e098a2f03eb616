#pragma once

#include "Services/teaselholdd/Settings.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace teaselhold::daemon {

/// Takes changes of the settings file into a running process. Values that only
/// a new process can take are named in the log. A file with errors changes
/// nothing.
class SettingsReload
{
public:
  /// Gets the settings in force after a change.
  using Sink = std::function<void(const Settings&)>;

  /// @param aText the file's content from which aSettings were read.
  SettingsReload(std::string aPath,
                 std::string aText,
                 Settings aSettings,
                 Sink aSink);

  /// Reads the file now, as an operator asks for.
  void Read();

  /// Reads the file if it changed and then stayed the same until this call, so
  /// that a file which is being written is left alone. Costs one system call
  /// while nothing changes.
  void Poll();

  /// What is in force.
  const Settings& Current() const { return settings_; }

private:
  /// Tells two states of a file apart.
  struct Stamp
  {
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::uint64_t inode = 0;
    std::int64_t bytes = 0;

    bool operator==(const Stamp&) const = default;
  };

  static std::optional<Stamp> StampOf(const std::string& aPath);
  void Take(const std::string& aText);

  std::string path_;
  /// The last content that was read, valid or not.
  std::string text_;
  /// The last content that was valid.
  std::string validText_;
  Settings settings_;
  Sink sink_;
  std::optional<Stamp> readStamp_;
  std::optional<Stamp> seenStamp_;
};

/// @return the content, or nothing if the file cannot be read.
std::optional<std::string>
ReadTextFile(const std::string& aPath);

} // namespace teaselhold::daemon
