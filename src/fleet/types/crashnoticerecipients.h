#ifndef CRANBERRYSPOOL_FLEET_TYPES_CRASHNOTICERECIPIENTS_H
#define CRANBERRYSPOOL_FLEET_TYPES_CRASHNOTICERECIPIENTS_H

namespace cranberryspool::fleet {

/// Which instances receive crash notices: those that pass news on to all, or a
/// few at random, so that lost messages are made up for and instances that have
/// just started learn what the others know.
enum class CrashNoticeRecipients { All, RandomFew };

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_CRASHNOTICERECIPIENTS_H
