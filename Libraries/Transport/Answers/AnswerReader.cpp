#include "Transport/Answers/AnswerReader.h"

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
using Stream = boost::beast::tcp_stream;
using Step = tl::expected<void, AnswerFailure>;

/// Interim answers before an answer. A server that sends them without end
/// would keep the thread busy past the deadline, which ends only waits.
constexpr int kMaxInterimAnswers = 16;

tl::unexpected<AnswerFailure>
Fail(AnswerFault aFault)
{
  const auto name = state::FindEnumName(kAnswerFaultNames, aFault);
  return tl::make_unexpected(AnswerFailure{
    { TransportErrorCode::PartialAnswer, std::string(name) }, aFault });
}

tl::unexpected<AnswerFailure>
FailConnection(TransportErrorCode aCode, std::string aMessage)
{
  return tl::make_unexpected(
    AnswerFailure{ { aCode, std::move(aMessage) }, std::nullopt });
}

} // namespace

Step
AnswerReader::Parse(AnswerParser& aParser)
{
  const auto bytes = buffer_.data();
  const auto taken =
    aParser.Take({ static_cast<const char*>(bytes.data()), bytes.size() });
  if (!taken) {
    return Fail(taken.error());
  }
  buffer_.consume(*taken);
  return {};
}

asio::awaitable<Step>
AnswerReader::ReadMore(Stream& aStream, AnswerParser& aParser)
{
  const auto space = boost::beast::read_size(buffer_, kMaxReadAhead);
  if (space == 0) {
    co_return Fail(AnswerFault::TooLong);
  }
  Error error;
  const auto bytes = co_await aStream.async_read_some(
    buffer_.prepare(space), asio::redirect_error(asio::use_awaitable, error));
  buffer_.commit(bytes);
  if (!error) {
    co_return Step();
  }
  if (error == boost::beast::error::timeout) {
    co_return FailConnection(TransportErrorCode::Timeout, error.message());
  }
  if (error == asio::error::eof && aParser.HasStarted()) {
    const auto ended = aParser.TakeEnd();
    if (!ended) {
      co_return Fail(ended.error());
    }
    co_return Step();
  }
  // A head may have begun; what it began is not said to be an answer.
  co_return FailConnection(aParser.HasHead()
                             ? TransportErrorCode::PartialAnswer
                             : TransportErrorCode::ConnectionLost,
                           error.message());
}

asio::awaitable<Step>
AnswerReader::ReadHead(Stream& aStream, AnswerParser& aParser)
{
  while (true) {
    auto parsed = Parse(aParser);
    if (!parsed || aParser.HasHead()) {
      co_return parsed;
    }
    auto read = co_await ReadMore(aStream, aParser);
    if (!read) {
      co_return read;
    }
  }
}

asio::awaitable<Step>
AnswerReader::ReadBody(Stream& aStream,
                       AnswerParser& aParser,
                       const AnswerBounds& aBounds)
{
  using Steady = std::chrono::steady_clock;
  const auto end =
    Steady::now() + aBounds.bodyTimeout.value_or(std::chrono::milliseconds(0));
  AnswerMemory::Share share(aBounds.memory);
  MemoryShare processShare(aBounds.holder);
  while (!aParser.IsDone()) {
    const auto next = aParser.NextBodyBytes() + buffer_.capacity();
    if (aBounds.holder != nullptr &&
        !processShare.TryResize(MemoryUse::Answer, next)) {
      co_return Fail(AnswerFault::NoMemory);
    }
    auto step = Parse(aParser);
    if (step && !share.GrowTo(aParser.BodyBytes())) {
      co_return Fail(AnswerFault::NoMemory);
    }
    if (aBounds.bodyTimeout) {
      aStream.expires_at(
        aBounds.stallTimeout
          ? std::min(end, Steady::now() + *aBounds.stallTimeout)
          : end);
    }
    if (step && !aParser.IsDone()) {
      step = co_await ReadMore(aStream, aParser);
    }
    if (!step) {
      co_return step;
    }
  }
  co_return Step();
}

asio::awaitable<Step>
AnswerReader::ReadOne(Stream& aStream,
                      AnswerParser& aParser,
                      const AnswerBounds& aBounds)
{
  auto head = co_await ReadHead(aStream, aParser);
  if (!head || aParser.IsDone()) {
    co_return head;
  }
  auto body = co_await ReadBody(aStream, aParser, aBounds);
  co_return body;
}

asio::awaitable<AnswerReader::Result>
AnswerReader::Read(Stream& aStream,
                   AnswerRequest aRequest,
                   const AnswerBounds& aBounds)
{
  const AnswerExpectation expectation{ aRequest.isToHead,
                                       aRequest.acceptsUnframed,
                                       aBounds.maxBodyBytes };
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    AnswerParser parser(expectation);
    auto read = co_await ReadOne(aStream, parser, aBounds);
    if (!read) {
      co_return tl::make_unexpected(std::move(read.error()));
    }
    const bool isAwaited = aRequest.stopsAtInvitation && parser.IsInvitation();
    if (isAwaited || !parser.IsInterim()) {
      const bool keepsConnection = parser.KeepsConnection();
      const bool isUnframed = parser.IsUnframed();
      co_return ReceivedAnswer{ parser.Release(), keepsConnection, isUnframed };
    }
  }
  co_return Fail(AnswerFault::OnlyInterim);
}

} // namespace teaselhold::transport
