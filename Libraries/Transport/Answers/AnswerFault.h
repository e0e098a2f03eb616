#pragma once

#include "State/EnumNames.h"

#include <array>
#include <cstdint>

namespace teaselhold::transport {

/// Why the bytes of a peer are no whole answer.
enum class AnswerFault : std::uint8_t
{
  /// The bytes are not HTTP/1.0 or HTTP/1.1.
  Malformed,
  /// The status is neither that of an interim answer nor of a final one.
  Status,
  /// A line of the head or of the trailers goes on in the next one.
  FoldedField,
  /// The body is coded otherwise than in chunks.
  Coding,
  /// A length stands where the status allows no body.
  ForbiddenBody,
  /// Neither a length nor chunks say where the body ends.
  NoLength,
  /// The head, the trailers or the extensions of a chunk are over the bound.
  TooLong,
  /// The body is over the bound.
  TooLarge,
  /// No memory is left for the body.
  NoMemory,
  /// The connection ended inside the answer.
  Cut,
  /// Interim answers came without an answer.
  OnlyInterim,
};

inline constexpr std::array<state::EnumName<AnswerFault>, 11> kAnswerFaultNames{
  {
    { AnswerFault::Malformed, "the answer is malformed" },
    { AnswerFault::Status, "the status is none of an answer" },
    { AnswerFault::FoldedField, "a field of the answer is folded" },
    { AnswerFault::Coding, "the transfer coding is not chunked" },
    { AnswerFault::ForbiddenBody, "the answer may have no body" },
    { AnswerFault::NoLength, "the answer has no length" },
    { AnswerFault::TooLong, "the framing of the answer is too long" },
    { AnswerFault::TooLarge, "the body of the answer is too large" },
    { AnswerFault::NoMemory, "no memory is left for the answer" },
    { AnswerFault::Cut, "the connection ended inside the answer" },
    { AnswerFault::OnlyInterim, "interim answers without an answer" },
  }
};

} // namespace teaselhold::transport
