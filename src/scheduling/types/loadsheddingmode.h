#ifndef CRANBERRYSPOOL_SCHEDULING_TYPES_LOADSHEDDINGMODE_H
#define CRANBERRYSPOOL_SCHEDULING_TYPES_LOADSHEDDINGMODE_H

namespace cranberryspool::scheduling {

/// Which services order and shed their calls by the cost to callers.
enum class LoadSheddingMode {
  /// None: urgent calls first, then by priority.
  Off,
  /// Those shared by request kinds with different priorities or objectives.
  SharedServices,
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TYPES_LOADSHEDDINGMODE_H
