#ifndef CRANBERRYSPOOL_FRAMEWORK_STRONGID_H
#define CRANBERRYSPOOL_FRAMEWORK_STRONGID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace cranberryspool::framework {

/// An identifier that does not convert to identifiers of another kind. `Tag`
/// makes each kind a distinct type; `Value` is the representation.
template <typename Tag, typename Value> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(Value Id) : Value_(std::move(Id)) {}

  const Value &value() const { return Value_; }

  friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
  Value Value_{};
};

} // namespace cranberryspool::framework

template <typename Tag, typename Value>
struct std::hash<cranberryspool::framework::StrongId<Tag, Value>> {
  std::size_t
  operator()(const cranberryspool::framework::StrongId<Tag, Value> &Id) const {
    return std::hash<Value>{}(Id.value());
  }
};

#endif // CRANBERRYSPOOL_FRAMEWORK_STRONGID_H
