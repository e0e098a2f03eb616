#pragma once

#include "Coordination/NodeEvents.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Lets a node that follows the changes of others notice that nobody writes
/// them any more. It keeps one question open at a reader, which is answered as
/// soon as that node stops reading or ends. When no reader is left, the first
/// node in the common order that is alive takes over, and the others find it.
class ReaderMonitor
{
public:
  /// The longest time for which a question is held back. Each costs about 500
  /// bytes with its answer, and a reader of a large fleet gets those of its
  /// share of the nodes.
  static constexpr std::chrono::milliseconds kMaxWait{ 10000 };
  /// A follower that is asked for its role checks its own reader, unless its
  /// question there is younger than this.
  static constexpr std::chrono::milliseconds kMinAgeForCheck{ 500 };

  /// Returns for how long a reader should hold a question back. The fewer it
  /// holds, the shorter, so that about one a second ends at each reader and
  /// followers whose connections went silent ask anew soon.
  /// @param aQuestions the number of others that it holds back.
  static std::chrono::milliseconds WaitFor(std::size_t aQuestions);

  /// Sets the data addresses of the nodes that are to read rather than this
  /// one, in the order in which they take over.
  void SetCandidates(std::vector<std::string> aCandidates);

  const std::vector<std::string>& Candidates() const { return candidates_; }

  /// Sends the questions that are due.
  /// @param aIsWanted false if this node has no use for readers or could not
  ///        replace them.
  void Tick(bool aIsWanted, state::Instant aNow, Commands& aCommands);

  void OnAnswer(const ReaderAnswered& aAnswer, state::Instant aNow);

  /// @return true if this node has to read for the others, because none of the
  ///         candidates does.
  bool IsSubstitute() const { return isSubstitute_; }

  /// Returns the data address of the reader at which a question is kept open;
  /// empty while none is known.
  std::string Reader() const { return reader_ ? candidates_[*reader_] : ""; }

private:
  /// Starts the search for a reader at the first candidate.
  void StartSearch(state::Instant aTime);
  void AskNext(Commands& aCommands);
  void Ask(std::size_t aCandidate, bool aMayWait, Commands& aCommands);
  void Evaluate(state::Instant aNow);
  void BecomeSubstitute(state::Instant aNow, Commands& aCommands);

  std::vector<std::string> candidates_;
  /// The reader at which a question is kept open.
  std::optional<std::size_t> reader_;
  /// The candidates of one step of the search begin here.
  std::size_t position_ = 0;
  std::size_t width_ = 0;
  /// The questions without an answer, by call, and the answers of this step, by
  /// candidate.
  std::map<std::uint64_t, std::size_t> asked_;
  std::map<std::size_t, ReaderRole> answers_;
  /// The first candidate that follows others, and how often it said so. Those
  /// before it have been given up.
  std::size_t successor_ = 0;
  unsigned successorTries_ = 0;
  bool isSubstitute_ = false;
  std::uint64_t nextCall_ = 1;
  state::Instant nextQuestion_{ 0 };
};

} // namespace teaselhold::coordination
