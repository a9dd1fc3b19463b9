#include "document/internal/jsontreebuilder.h"

#include <utility>

namespace cranberryspool::document {

namespace {

/// Returns the offset of the first byte at or after `At` that is no space or
/// separator.
std::size_t skipToToken(std::string_view Text, std::size_t At) {
  const std::size_t Start = Text.find_first_not_of(" \t\r\n,:", At);
  return Start == std::string_view::npos ? Text.size() : Start;
}

} // namespace

JsonTreeBuilder::JsonTreeBuilder(std::string_view Text, bool KeepsPositions)
    : Text_(Text), KeepsPositions_(KeepsPositions) {}

std::size_t JsonTreeBuilder::tokenStart() const {
  return KeepsPositions_ ? skipToToken(Text_, PreviousEnd_) : 0;
}

JsonNodeId JsonTreeBuilder::add(JsonTree::Content Content) {
  const JsonNodeId Id(Tree_.Nodes_.size());
  Tree_.Nodes_.push_back({tokenStart(), std::move(Content)});
  if (Open_.empty())
    return Id;
  JsonTree::Content &Outer = Tree_.Nodes_[Open_.back().value()].Content_;
  if (auto *Items = std::get_if<JsonTree::Array>(&Outer))
    Items->push_back(Id);
  else if (auto *Members = std::get_if<JsonTree::Object>(&Outer))
    Members->push_back({std::exchange(Key_, {}), KeyOffset_, Id});
  return Id;
}

bool JsonTreeBuilder::open(JsonTree::Content Content) {
  const JsonNodeId Id = add(std::move(Content));
  Open_.push_back(Id);
  PreviousEnd_ = Offset_ + 1;
  return true;
}

bool JsonTreeBuilder::close() {
  Open_.pop_back();
  PreviousEnd_ = Offset_ + 1;
  return true;
}

bool JsonTreeBuilder::addScalar(JsonTree::Content Content, std::size_t End) {
  add(std::move(Content));
  PreviousEnd_ = End;
  return true;
}

bool JsonTreeBuilder::on_object_begin(ErrorCode &) {
  return open(JsonTree::Object());
}

bool JsonTreeBuilder::on_object_end(std::size_t, ErrorCode &) {
  return close();
}

bool JsonTreeBuilder::on_array_begin(ErrorCode &) {
  return open(JsonTree::Array());
}

bool JsonTreeBuilder::on_array_end(std::size_t, ErrorCode &) { return close(); }

bool JsonTreeBuilder::on_key_part(View Part, std::size_t, ErrorCode &) {
  Partial_.append(Part.data(), Part.size());
  return true;
}

bool JsonTreeBuilder::on_key(View Part, std::size_t, ErrorCode &) {
  Partial_.append(Part.data(), Part.size());
  Key_ = std::exchange(Partial_, {});
  KeyOffset_ = tokenStart();
  PreviousEnd_ = Offset_ + 1;
  return true;
}

bool JsonTreeBuilder::on_string_part(View Part, std::size_t, ErrorCode &) {
  Partial_.append(Part.data(), Part.size());
  return true;
}

bool JsonTreeBuilder::on_string(View Part, std::size_t, ErrorCode &) {
  Partial_.append(Part.data(), Part.size());
  return addScalar(std::exchange(Partial_, {}), Offset_ + 1);
}

// The parser knows that a number has ended only at the byte behind it.

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
