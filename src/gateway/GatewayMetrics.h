#pragma once

/// Metrics of the gateway, registered once at the start.

#include "base/Metrics.h"

namespace limpetpond {

struct GatewayMetrics {
    GatewayMetrics();

    Metrics registry;
    Counter& requests;
    Counter& answered;
    Counter& refusedOverload;
    Counter& refusedQuarantined; ///< One of the prompt's parts crashes targets.
    Counter& refusedQuota;
    Gauge& quotaSharePercent;
    Counter& refusedOther; ///< Unknown route or key, no settings.
    Counter& failed; ///< Answered with 502 or 504, or cut off.
    Counter& callersDisconnected;
    Counter& callersTimedOut;
    Counter& sends;
    Counter& retries;
    Counter& resumes;
    Counter& notRunAnswers;
    Counter& brokenAnswers;
    Counter& oversizedAnswers;
    Gauge& answerBufferBytes;
    Counter& refusedBodies;
    Gauge& requestBodyBytes;
    Counter& untakenAnswers;
    Counter& lostAnswers; ///< Callers left, were silent or took nothing before they had the whole answer.
    Gauge& unwrittenAnswerBytes;
    Gauge& callerConnections;
    Gauge& waiting;
    Gauge& inProgress;
    Gauge& settingsVersion;
    Gauge& targets;
    Gauge& peers;
    Gauge& leavingTargets;
    Gauge& pausedTargets;
    Counter& targetPauses;
    Gauge& quarantinedParts;
    Counter& targetCrashes;
    Gauge& rolloutsRunning;
    Counter& rolloutsSucceeded;
    Counter& rolloutsRolledBack;
    Counter& rolloutSends;
    SecondsHistogram& waitSeconds;
    SecondsHistogram& firstByteSeconds;
    SecondsHistogram& wholeSeconds;
};

} // namespace limpetpond
