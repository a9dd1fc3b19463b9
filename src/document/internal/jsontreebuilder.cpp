#include "document/internal/jsontreebuilder.h"

#include <utility>

namespace cranberryspool::document {

namespace {

/// Returns the offset of the first byte at or after `From` that is neither
/// whitespace nor a separator.
std::size_t skipToToken(std::string_view Text, std::size_t From) {
  const std::size_t TokenStart = Text.find_first_not_of(" \t\r\n,:", From);
  return TokenStart == std::string_view::npos ? Text.size() : TokenStart;
}

} // namespace

JsonTreeBuilder::JsonTreeBuilder(std::string_view Text, bool RecordsOffsets)
    : Text_(Text), RecordsOffsets_(RecordsOffsets) {}

std::size_t JsonTreeBuilder::tokenStart() const {
  return RecordsOffsets_ ? skipToToken(Text_, PreviousTokenEnd_) : 0;
}

JsonNodeId JsonTreeBuilder::addValue(JsonTree::Content Content) {
  const JsonNodeId Id(Tree_.Nodes_.size());
  Tree_.Nodes_.push_back({tokenStart(), std::move(Content)});
  if (OpenContainers_.empty())
    return Id;
  JsonTree::Content &Container =
      Tree_.Nodes_[OpenContainers_.back().value()].Content_;
  if (auto *Elements = std::get_if<JsonTree::Array>(&Container))
    Elements->push_back(Id);
  else if (auto *Members = std::get_if<JsonTree::Object>(&Container))
    Members->push_back({std::exchange(Key_, {}), KeyOffset_, Id});
  return Id;
}

bool JsonTreeBuilder::openContainer(JsonTree::Content Content) {
  const JsonNodeId Id = addValue(std::move(Content));
  OpenContainers_.push_back(Id);
  PreviousTokenEnd_ = Offset_ + 1;
  return true;
}

bool JsonTreeBuilder::closeContainer() {
  OpenContainers_.pop_back();
  PreviousTokenEnd_ = Offset_ + 1;
  return true;
}

bool JsonTreeBuilder::addScalar(JsonTree::Content Content, std::size_t End) {
  addValue(std::move(Content));
  PreviousTokenEnd_ = End;
  return true;
}

bool JsonTreeBuilder::on_object_begin(ErrorCode &) {
  return openContainer(JsonTree::Object());
}

bool JsonTreeBuilder::on_object_end(std::size_t, ErrorCode &) {
  return closeContainer();
}

bool JsonTreeBuilder::on_array_begin(ErrorCode &) {
  return openContainer(JsonTree::Array());
}

bool JsonTreeBuilder::on_array_end(std::size_t, ErrorCode &) {
  return closeContainer();
}

bool JsonTreeBuilder::on_key_part(View Part, std::size_t, ErrorCode &) {
  PartialText_.append(Part.data(), Part.size());
  return true;
}

bool JsonTreeBuilder::on_key(View Part, std::size_t, ErrorCode &) {
  PartialText_.append(Part.data(), Part.size());
  Key_ = std::exchange(PartialText_, {});
  KeyOffset_ = tokenStart();
  PreviousTokenEnd_ = Offset_ + 1;
  return true;
}

bool JsonTreeBuilder::on_string_part(View Part, std::size_t, ErrorCode &) {
  PartialText_.append(Part.data(), Part.size());
  return true;
}

bool JsonTreeBuilder::on_string(View Part, std::size_t, ErrorCode &) {
  PartialText_.append(Part.data(), Part.size());
  return addScalar(std::exchange(PartialText_, {}), Offset_ + 1);
}

// The parser detects the end of a number only at the byte that follows it.

bool JsonTreeBuilder::on_int64(std::int64_t Value, View, ErrorCode &) {
  return addScalar(Value, Offset_);
}

bool JsonTreeBuilder::on_uint64(std::uint64_t Value, View, ErrorCode &) {
  return addScalar(static_cast<double>(Value), Offset_);
}

bool JsonTreeBuilder::on_double(double Value, View, ErrorCode &) {
  return addScalar(Value, Offset_);
}

bool JsonTreeBuilder::on_bool(bool Value, ErrorCode &) {
  return addScalar(Value, Offset_ + 1);
}

bool JsonTreeBuilder::on_null(ErrorCode &) {
  return addScalar(nullptr, Offset_ + 1);
}

} // namespace cranberryspool::document
