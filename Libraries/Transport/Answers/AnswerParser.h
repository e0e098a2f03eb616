#pragma once

#include "Transport/Answers/AnswerFault.h"
#include "Transport/HttpMessages.h"

#include <string_view>
#include <tl/expected.hpp>

namespace teaselhold::transport {

/// What is known of an answer before its first byte.
struct AnswerExpectation
{
  /// An answer to HEAD has no body, whatever length it names.
  bool isToHead = false;
  /// A body without a length ends with its connection.
  bool acceptsUnframed = false;
  std::uint64_t maxBodyBytes = kMaxBodyBytes;
};

/// Reads one answer, interim or final, from bytes. Does no I/O.
class AnswerParser
{
public:
  explicit AnswerParser(const AnswerExpectation& aExpectation);

  /// Takes bytes from the front, up to the end of the head or of the answer.
  /// @return how many were taken. The others come again, with more behind them.
  tl::expected<std::size_t, AnswerFault> Take(std::string_view aBytes);

  /// Takes the end of the connection, which is the end of a body without a
  /// length and of nothing else.
  tl::expected<void, AnswerFault> TakeEnd();

  bool HasStarted() const { return parser_.got_some(); }
  bool HasHead() const { return parser_.is_header_done(); }
  bool IsDone() const { return parser_.is_done(); }

  /// The following are known once there is a head.
  /// @{
  unsigned Status() const { return parser_.get().result_int(); }
  bool IsInvitation() const;
  bool IsInterim() const;
  bool IsUnframed() const { return parser_.need_eof(); }
  /// The peer keeps the connection for another request.
  bool KeepsConnection() const;
  /// Bytes of the body that were taken.
  std::uint64_t BodyBytes() const { return parser_.get().body().size(); }
  /// What the body holds after the next part, in bytes.
  std::uint64_t NextBodyBytes() const;
  /// @}

  /// @return the whole answer; nothing else may be called afterwards.
  HttpResponse Release() { return parser_.release(); }

private:
  /// @return nothing if the head may be passed on.
  tl::expected<void, AnswerFault> CheckHead() const;

  AnswerExpectation expectation_;
  /// A first part was taken, so what comes is not the start of the answer.
  bool hasTaken_ = false;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

} // namespace teaselhold::transport
