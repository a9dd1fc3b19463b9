#include "fleet/internal/cborreader.h"

#include <cbor.h>

namespace cranberryspool::fleet {

namespace {

void storeUnsigned(void *Context, std::uint64_t Value) {
  *static_cast<CborToken *>(Context) =
      CborToken{CborTokenType::Unsigned, Value, {}};
}

void storeText(void *Context, cbor_data Data, std::size_t Length) {
  *static_cast<CborToken *>(Context) =
      CborToken{CborTokenType::Text, 0,
                std::string_view(reinterpret_cast<const char *>(Data), Length)};
}

void storeBytes(void *Context, cbor_data Data, std::size_t Length) {
  *static_cast<CborToken *>(Context) =
      CborToken{CborTokenType::Bytes, 0,
                std::string_view(reinterpret_cast<const char *>(Data), Length)};
}

void storeArray(void *Context, std::size_t Count) {
  *static_cast<CborToken *>(Context) =
      CborToken{CborTokenType::Array, Count, {}};
}

void storeBoolean(void *Context, bool Value) {
  *static_cast<CborToken *>(Context) =
      CborToken{CborTokenType::Boolean, Value ? 1U : 0U, {}};
}

void storeNull(void *Context) {
  *static_cast<CborToken *>(Context) = CborToken{CborTokenType::Null, 0, {}};
}

cbor_callbacks makeCallbacks() {
  cbor_callbacks Callbacks = cbor_empty_callbacks;
  Callbacks.uint8 = [](void *Context, std::uint8_t Value) {
    storeUnsigned(Context, Value);
  };
  Callbacks.uint16 = [](void *Context, std::uint16_t Value) {
    storeUnsigned(Context, Value);
  };
  Callbacks.uint32 = [](void *Context, std::uint32_t Value) {
    storeUnsigned(Context, Value);
  };
  Callbacks.uint64 = storeUnsigned;
  Callbacks.string = storeText;
  Callbacks.byte_string = storeBytes;
  Callbacks.array_start = storeArray;
  Callbacks.boolean = storeBoolean;
  Callbacks.null = storeNull;
  return Callbacks;
}

} // namespace

CborToken CborReader::peekToken(std::size_t &Length) {
  static const cbor_callbacks Callbacks = makeCallbacks();
  CborToken Token;
  if (Failure_)
    return Token;
  const cbor_decoder_result Result =
      cbor_stream_decode(Input_.data(), Input_.size(), &Callbacks, &Token);
  if (Result.status != CBOR_DECODER_FINISHED) {
    fail(DecodeFailure::MalformedCbor);
    return CborToken{};
  }
  Length = Result.read;
  return Token;
}

CborToken CborReader::readToken(CborTokenType Type) {
  std::size_t Length = 0;
  const CborToken Token = peekToken(Length);
  if (Failure_)
    return CborToken{};
  if (Token.Type_ != Type) {
    fail(DecodeFailure::WrongFieldType);
    return CborToken{};
  }
  Input_ = Input_.subspan(Length);
  return Token;
}

std::uint64_t CborReader::readUnsigned() {
  return readToken(CborTokenType::Unsigned).Number_;
}

std::string CborReader::readText() {
  return std::string(readToken(CborTokenType::Text).Text_);
}

std::vector<std::uint8_t> CborReader::readBytes() {
  const CborToken Token = readToken(CborTokenType::Bytes);
  return std::vector<std::uint8_t>(Token.Text_.begin(), Token.Text_.end());
}

bool CborReader::readBoolean() {
  return readToken(CborTokenType::Boolean).Number_ != 0;
}

bool CborReader::tryReadNull() {
  std::size_t Length = 0;
  if (peekToken(Length).Type_ != CborTokenType::Null)
    return false;
  Input_ = Input_.subspan(Length);
  return true;
}

std::size_t CborReader::readArrayHeader() {
  const std::uint64_t Count = readToken(CborTokenType::Array).Number_;
  if (Count > Input_.size()) {
    fail(DecodeFailure::ValueOutOfRange);
    return 0;
  }
  return static_cast<std::size_t>(Count);
}

void CborReader::fail(DecodeFailure Failure) {
  if (!Failure_)
    Failure_ = Failure;
}

} // namespace cranberryspool::fleet
