#ifndef CRANBERRYSPOOL_FRAMEWORK_LOG_LOGWRITER_H
#define CRANBERRYSPOOL_FRAMEWORK_LOG_LOGWRITER_H

#include "framework/log/logline.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cranberryspool::framework {

/// Writes log lines to a file descriptor on a thread of its own. No call ever
/// waits for the reader: what does not fit in the budget or the ring is dropped
/// and counted, and the count is written once a second. Thread-safe.
class LogWriter {
public:
  /// Bytes that are written in a second at most; routine lines may use half.
  static constexpr std::size_t DefaultBytesPerSecond = 128 * 1024;

  /// `Instance` stands in each line. The descriptor stays open.
  LogWriter(int Descriptor, std::string Instance,
            std::size_t BytesPerSecond = DefaultBytesPerSecond);
  /// Gives the reader a moment to take the last lines.
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  void write(const LogLine &Line);

  /// Lines that were dropped since the start.
  std::uint64_t dropped() const;

private:
  class Channel;
  /// Shared with the thread, which a reader that takes nothing may hold up
  /// beyond the life of the writer.
  std::shared_ptr<Channel> Channel_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_LOG_LOGWRITER_H
