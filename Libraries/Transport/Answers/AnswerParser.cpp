#include "Transport/Answers/AnswerParser.h"

#include <algorithm>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// The client asks for no other protocol, so 101 answers none of its requests.
constexpr unsigned kSwitchingProtocols = 101;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;

/// @return true for the statuses of RFC 9110, section 15, that a request may
/// get. Beast takes any three digits.
bool
IsStatusOfAnswer(unsigned aStatus)
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != kSwitchingProtocols;
}

/// Finds a line that begins with a blank. Beast joins it to the field before
/// it, so that a field whose name begins with a blank, such as a length, would
/// vanish in the value of another.
bool
HasFoldedLine(std::string_view aLines)
{
  return aLines.find("\r\n ") != std::string_view::npos ||
         aLines.find("\r\n\t") != std::string_view::npos;
}

/// @return false if the bytes cannot become an answer, however they go on.
/// Beast waits for eight bytes before it looks at the first.
bool
MayStartAnswer(std::string_view aBytes)
{
  constexpr std::string_view kStart = "HTTP/1.";
  const auto length = std::min(aBytes.size(), kStart.size());
  return aBytes.substr(0, length) == kStart.substr(0, length);
}

/// @return true if the answer is sent as it is or in chunks and nothing else.
/// Beast ignores a coding that it does not know; the body would be passed on
/// as coded, and read to the end of the connection or to a length that does
/// not count beside a coding.
bool
HasKnownCoding(const http::response<http::string_body>& aMessage)
{
  constexpr unsigned kHttp11 = 11;
  const auto codings = aMessage.count(http::field::transfer_encoding);
  if (codings == 0) {
    return true;
  }
  return codings == 1 && aMessage.version() == kHttp11 &&
         boost::beast::iequals(aMessage[http::field::transfer_encoding],
                               "chunked");
}

/// @return true if an interim answer or a 204 says that a body follows. Beast
/// ends the answer with its head all the same, so that the body would be read
/// as the next one.
bool
HasForbiddenBody(const http::response_parser<http::string_body>& aParser)
{
  const auto status = aParser.get().result_int();
  const bool allowsNone =
    status / 100 == 1 || aParser.get().result() == http::status::no_content;
  return allowsNone &&
         (aParser.chunked() || aParser.content_length().value_or(0) > 0);
}

AnswerFault
ToFault(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return AnswerFault::TooLong;
  }
  if (aError == http::error::body_limit ||
      aError == http::error::buffer_overflow) {
    return AnswerFault::TooLarge;
  }
  return AnswerFault::Malformed;
}

} // namespace

AnswerParser::AnswerParser(const AnswerExpectation& aExpectation)
  : expectation_(aExpectation)
{
  parser_.header_limit(kMaxHeaderBytes);
  parser_.body_limit(aExpectation.maxBodyBytes);
  parser_.skip(aExpectation.isToHead);
}

tl::expected<std::size_t, AnswerFault>
AnswerParser::Take(std::string_view aBytes)
{
  if (!hasTaken_ && !MayStartAnswer(aBytes)) {
    return tl::make_unexpected(AnswerFault::Malformed);
  }
  std::size_t taken = 0;
  while (taken < aBytes.size() && !IsDone()) {
    const bool hadHead = HasHead();
    const auto rest = aBytes.substr(taken);
    boost::system::error_code error;
    // Takes whole fields of the head, or one part of the body. The trailers are
    // taken at once with the line of the last chunk.
    const auto used =
      parser_.put(asio::buffer(rest.data(), rest.size()), error);
    taken += used;
    hasTaken_ = hasTaken_ || used > 0;
    const bool tookFields = !hadHead || (parser_.chunked() && IsDone());
    if (tookFields && HasFoldedLine(rest.substr(0, used))) {
      return tl::make_unexpected(AnswerFault::FoldedField);
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return tl::make_unexpected(ToFault(error));
    }
    if (!hadHead && HasHead()) {
      const auto checked = CheckHead();
      if (!checked) {
        return tl::make_unexpected(checked.error());
      }
      break;
    }
  }
  return taken;
}

tl::expected<void, AnswerFault>
AnswerParser::TakeEnd()
{
  if (!HasHead()) {
    return tl::make_unexpected(AnswerFault::Cut);
  }
  boost::system::error_code error;
  parser_.put_eof(error);
  if (error) {
    return tl::make_unexpected(AnswerFault::Cut);
  }
  return {};
}

tl::expected<void, AnswerFault>
AnswerParser::CheckHead() const
{
  if (!IsStatusOfAnswer(Status())) {
    return tl::make_unexpected(AnswerFault::Status);
  }
  if (!HasKnownCoding(parser_.get())) {
    return tl::make_unexpected(AnswerFault::Coding);
  }
  if (HasForbiddenBody(parser_)) {
    return tl::make_unexpected(AnswerFault::ForbiddenBody);
  }
  if (IsUnframed() && !expectation_.acceptsUnframed) {
    return tl::make_unexpected(AnswerFault::NoLength);
  }
  return {};
}

bool
AnswerParser::IsInvitation() const
{
  return parser_.get().result() == http::status::continue_;
}

bool
AnswerParser::IsInterim() const
{
  // By number, because Beast does not know the name of each interim status.
  return Status() / 100 == 1;
}

bool
AnswerParser::KeepsConnection() const
{
  // Not the message's keep_alive, which sees the first field Connection only.
  return parser_.keep_alive();
}

std::uint64_t
AnswerParser::NextBodyBytes() const
{
  constexpr std::uint64_t kPartBytes = 4UL * kMaxHeaderBytes;
  const auto& body = parser_.get().body();
  const auto needed = body.size() + kPartBytes;
  if (const auto length = parser_.content_length()) {
    // The whole body is reserved, and takes memory only as it is filled.
    return std::min<std::uint64_t>(needed, *length);
  }
  const std::uint64_t capacity = body.capacity();
  return needed <= capacity ? capacity : std::max(2 * capacity, needed);
}

} // namespace teaselhold::transport
