#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace teaselhold::daemon {

/// What a log line tells, which decides how many of its kind are written.
enum class LineKind
{
  /// A request that ended well.
  Ordinary,
  /// A request that was refused, failed or whose outcome is unknown.
  Failure,
  /// The process itself and what it believes: configuration, members,
  /// upstream, store.
  Belief,
};

/// Requests that end often, of which only a sample gets lines.
enum class Sampled
{
  /// Ordinary ones at the node that their caller reached.
  Call,
  /// Ordinary ones at the node beside the upstream.
  Delivery,
  /// Refused for load at the node beside the upstream. Their caller's node asks
  /// others, so under overload most lines would be of these; it writes a line
  /// of its own if all refuse.
  Refusal,
};

/// The parts that lines of requests begin with.
inline constexpr std::array<std::string_view, 2> kRequestParts{ "[call] ",
                                                                "[delivery] " };

/// Tells the kind of a line from its text and whether it is a warning.
LineKind
ClassifyLine(std::string_view aLine, bool aIsWarning);

/// Decides which lines are written, so that the lines of ordinary requests do
/// not crowd out those that explain a failure where only the newest part of a
/// log is kept. Has no clock; belongs to one thread at a time.
class LogPolicy
{
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Requests that get a line in a second, in the order of Sampled.
  static constexpr std::array<unsigned, 3> kPerSecond{ 3, 3, 5 };
  /// Lines of one kind in a second; the rest is dropped and counted.
  static constexpr unsigned kMaxPerSecond = 400;
  /// How often the requests without a line are counted in one.
  static constexpr std::chrono::seconds kSummaryInterval{ 10 };

  /// Requests that got no line since the last summary.
  struct LeftOut
  {
    Sampled kind;
    std::uint64_t count;
  };

  /// Tells whether a request gets a line; counts it if it does not.
  bool AdmitSampled(Sampled aKind, Time aNow);

  /// Tells whether a line is within the bound of its kind; counts it if not.
  bool AdmitLine(LineKind aKind, Time aNow);

  /// From now on each request of this kind gets a line, within the bound.
  void EndSampling(Sampled aKind)
  {
    samples_[static_cast<std::size_t>(aKind)].isSampling = false;
  }

  /// Returns the counts that are due, or all of them if the log ends.
  std::vector<LeftOut> TakeLeftOut(Time aNow, bool aIsEnd = false);

  /// Lines beyond the bounds since the last call.
  std::uint64_t TakeDropped();

private:
  /// Counts up to a limit in each second.
  struct Window
  {
    bool Admit(unsigned aLimit, Time aNow);

    Time start{};
    unsigned admitted = 0;
  };

  struct Sample
  {
    bool isSampling = true;
    Window window;
    std::uint64_t leftOut = 0;
    Time since{};
  };

  std::array<Window, 3> kinds_;
  std::array<Sample, kPerSecond.size()> samples_;
  std::uint64_t dropped_ = 0;
};

} // namespace teaselhold::daemon
