#pragma once

#include "State/Instant.h"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace teaselhold::state {

/// A complete response, returned again to later deliveries of the same key.
struct StoredAnswer
{
  unsigned status = 0;
  /// Headers and body in the caller's own format.
  std::string content;
};

using StoredAnswerPointer = std::shared_ptr<const StoredAnswer>;

/// One delivery of a keyed request to its executor.
struct KeyedDelivery
{
  std::string name;
  std::uint64_t fingerprint = 0;
  /// The epoch of the claim that led to this executor.
  std::uint64_t epoch = 0;
  /// The sender wrote the claim and this is its first delivery under it.
  bool mayStart = false;
  /// Names the delivery in RunLedger's lists of waiting ones.
  std::uint64_t id = 0;
};

/// Run the request; then call Answer(), Refuse() or Lose().
struct StartRun
{};

/// The request is running; its end lists this delivery.
struct JoinRun
{};

struct ReplayAnswer
{
  StoredAnswerPointer answer;
};

/// The request has not run under this epoch and will not.
struct RefuseKey
{};

/// The key belongs to a request with another content.
struct MismatchedKey
{};

/// The request may have run; the answer is not known any more.
struct LostRun
{
  /// The upstream crashed or went silent while it ran the request. Otherwise
  /// the ledger has forgotten the key or the answer.
  bool duringRun = false;
};

using KeyedVerdict = std::
  variant<StartRun, JoinRun, ReplayAnswer, RefuseKey, MismatchedKey, LostRun>;

struct RunLedgerOptions
{
  /// 200 claims a second for the fleet are about 2,700 a day for one of 6,500
  /// nodes.
  std::size_t maxKeys = 16384;
  std::size_t maxAnswerBytes = std::size_t{ 64 } * 1024;
  std::size_t maxTotalBytes = std::size_t{ 16 } * 1024 * 1024;
  /// Longer than a claim lives.
  Duration keep = std::chrono::hours(26);
  /// Longer than a delivery can be on its way.
  Duration minimumKeep = std::chrono::minutes(10);
};

/// What the upstream beside this node has run, by key, so that a keyed request
/// runs at most once. Lives as long as the process; another incarnation refuses
/// keyed requests that name this one.
///
/// Of all deliveries under one epoch of a claim only one may start the run. Any
/// other delivery of a key that the ledger does not know is refused, and the
/// refusal is remembered, so that its receiver may move the claim elsewhere.
class RunLedger
{
public:
  explicit RunLedger(RunLedgerOptions aOptions = {});

  KeyedVerdict Arrive(const KeyedDelivery& aDelivery, Instant aNow);

  /// The run ended with an answer. Returns the joined deliveries; they get the
  /// same answer.
  std::vector<std::uint64_t> Answer(std::string_view aName,
                                    StoredAnswer aAnswer,
                                    Instant aNow);

  /// The run was refused before delivery to the upstream. Returns the joined
  /// deliveries; they are refused too, as RefuseKey.
  std::vector<std::uint64_t> Refuse(std::string_view aName, Instant aNow);

  /// The run's end is not known. Returns the joined deliveries; their outcome
  /// is unknown too.
  std::vector<std::uint64_t> Lose(std::string_view aName, Instant aNow);

  std::size_t Size() const { return entries_.size(); }
  std::size_t StoredBytes() const { return storedBytes_; }

private:
  enum class Phase : std::uint8_t
  {
    Running,
    Answered,
    Refused,
    Lost,
  };
  struct Entry : boost::intrusive::list_base_hook<>
  {
    /// The key in entries_.
    const std::string* name = nullptr;
    std::uint64_t fingerprint = 0;
    std::uint64_t epoch = 0;
    Phase phase = Phase::Running;
    /// Empty for an answer that is too large to keep.
    StoredAnswerPointer answer;
    std::vector<std::uint64_t> joined;
    Instant touched{ 0 };
  };

  static KeyedVerdict Join(Entry& aEntry, const KeyedDelivery& aDelivery);
  KeyedVerdict ArriveKnown(Entry& aEntry,
                           const KeyedDelivery& aDelivery,
                           Instant aNow);
  KeyedVerdict ArriveUnknown(const KeyedDelivery& aDelivery, Instant aNow);
  bool MakeRoom(Instant aNow);
  void DropExpired(Instant aNow);
  void DropAnswers();
  void Erase(Entry& aEntry);
  Entry& Add(const KeyedDelivery& aDelivery, Phase aPhase, Instant aNow);
  Entry* Running(std::string_view aName);
  std::vector<std::uint64_t> End(Entry& aEntry, Phase aPhase, Instant aNow);
  void Touch(Entry& aEntry, Instant aNow);

  RunLedgerOptions options_;
  std::unordered_map<std::string, Entry> entries_;
  /// The least recently touched first; destroyed before the entries.
  boost::intrusive::list<Entry> order_;
  std::size_t storedBytes_ = 0;
  /// A key was forgotten before its claim can have expired; until this time an
  /// unknown key may have run.
  Instant doubtUntil_{ 0 };
};

} // namespace teaselhold::state
