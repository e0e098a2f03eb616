#pragma once

#include "Coordination/Quotas/QuotaLimits.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teaselhold::coordination::quotas {

/// Asks an elector to vouch for the sender as the lender of a position.
struct Claim
{
  Position position;
  /// Rises with each claim of a process.
  std::uint64_t number = 0;
  /// The sender gives the position up instead.
  bool isRelease = false;
};

/// Asks a lender for credit of an account.
struct Ask
{
  Position position;
  std::string account = {};
  /// The term of the lender that lent what the sender holds; 0: it holds none.
  std::uint64_t term = 0;
  /// Unused credit that the sender keeps, and that it gives back.
  std::uint32_t held = 0;
  std::uint32_t returned = 0;
  /// Credit for requests that wait for it, and for those of the near future.
  std::uint32_t need = 0;
  std::uint32_t ahead = 0;
};

struct Vouch
{
  Position position;
  bool isGiven = false;
  /// For whom the elector vouches; empty: for nobody.
  std::string lender = {};
};

struct Grant
{
  Position position;
  std::string account = {};
  std::uint64_t term = 0;
  std::uint32_t need = 0;
  std::uint32_t ahead = 0;
  /// When less was granted than needed: time after which credit is expected.
  state::Duration emptyFor{ 0 };
};

/// The asked node does not lend the account's credit.
struct Moved
{
  Position position;
  std::string account = {};
  /// The lender that it knows; may be empty.
  std::string lender = {};
};

using Question = std::variant<Claim, Ask>;
using Answer = std::variant<Vouch, Grant, Moved>;

struct QuestionMessage
{
  std::string node;
  std::uint64_t incarnation = 0;
  std::vector<Question> questions;
};

struct AnswerMessage
{
  std::vector<Answer> answers;
};

/// One line for each question or answer, its fields separated by tabs.
std::string
Encode(const QuestionMessage& aMessage);
std::string
Encode(const AnswerMessage& aMessage);

/// @return nothing if the text is not such a message.
std::optional<QuestionMessage>
DecodeQuestions(std::string_view aText);
std::optional<AnswerMessage>
DecodeAnswers(std::string_view aText);

} // namespace teaselhold::coordination::quotas
