#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTATIMING_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTATIMING_H

#include "framework/time.h"

#include <cstddef>

namespace cranberryspool::quotas {

/// The instances that hold a share of a workspace's quota.
constexpr std::size_t MaxShareholders = 7;
/// All shares together issue this multiple of the rate, so that the quota is
/// used in full while one shareholder does not answer. The home instance
/// limits what it grants to the rate itself.
constexpr double ShareExcess = 7.0 / 6.0;
/// A bucket holds at least this much of its rate, so that it does not overflow
/// between two collections.
constexpr double BucketSeconds = 0.1;
/// Credits are requested ahead for this long.
constexpr double CallerAheadSeconds = 0.06;
constexpr double HomeAheadSeconds = 0.06;
/// Credits that an instance did not use for this long go back to the home
/// instance. Credits held at instances add to the requests of a window.
constexpr framework::Duration CreditLifetime = std::chrono::milliseconds(200);

/// A caller waits at most 50 ms for a decision; the rest is left for a timer
/// that fires late.
constexpr framework::Duration DecisionTimeout = std::chrono::milliseconds(45);
/// The one-way latency between zones is up to 0.9 ms.
constexpr framework::Duration RetryInterval = std::chrono::milliseconds(10);
/// One in 25 exchanges is lost; two attempts would suspect a running instance
/// once in 600 exchanges.
constexpr int MaxTries = 3;
/// Shareholders are asked again and given up sooner, since a caller waits.
constexpr framework::Duration ShareRetryInterval = std::chrono::milliseconds(6);
constexpr int MaxShareTries = 3;
/// The home instance answers in this time with what it has.
constexpr framework::Duration HomeTimeout = std::chrono::milliseconds(22);
/// The time between two collections once the shares are empty.
constexpr framework::Duration DrainedCollectInterval =
    std::chrono::milliseconds(40);
/// A request waits for the next collection if it is due this soon.
constexpr framework::Duration MaxCollectionWait = std::chrono::milliseconds(5);
/// A suspected instance is asked this often whether it answers again.
constexpr framework::Duration ProbeInterval = std::chrono::milliseconds(500);
/// With many instances over the quota, each waits longer until it asks again.
constexpr framework::Duration WaitPerRequester = std::chrono::microseconds(400);
constexpr framework::Duration MaxRequesterWait = std::chrono::milliseconds(150);
/// While no home instance answers, calls are refused for this long, and told to
/// come back when the next in rank has taken over.
constexpr framework::Duration OutageWait = std::chrono::milliseconds(200);
constexpr framework::Duration OutageRetryDelay = std::chrono::seconds(1);

/// An instance that has just started may not know most others yet, so it holds
/// no share.
constexpr framework::Duration StartDelay = std::chrono::seconds(3);
/// A member that is gone keeps its place among the shareholders for this long.
/// The two sides of a partition notice it within seconds of each other; until
/// then both would hold shares.
constexpr framework::Duration RemovalDelay = std::chrono::seconds(10);
/// The time for which members that are gone, and the largest number of running
/// instances, are remembered. A partition that lasts longer is taken for a
/// smaller fleet.
constexpr framework::Duration FleetMemory = std::chrono::minutes(15);
/// A fleet that is smaller by up to a tenth than the largest known one still
/// uses the whole quota.
constexpr double FleetSlack = 1.1;
/// The fraction of the tolerance that the instances' own reserves use. The rest
/// covers whole credits at slow workspaces.
constexpr double ReserveFraction = 0.4;

/// State without use is dropped after this time.
constexpr framework::Duration IdleTimeout = std::chrono::seconds(2);

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTATIMING_H
