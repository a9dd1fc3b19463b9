#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_LINES_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_LINES_H

#include "decision/action.h"
#include "decision/event.h"

#include <boost/json/object.hpp>

namespace cranberryspool::session {

/// Returns an action as the members of one output line, its kind first.
boost::json::object actionLine(const decision::Action &Asked);

/// Returns an event as the members of one output line, its kind first.
boost::json::object eventLine(const decision::Event &Happened);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_LINES_H
