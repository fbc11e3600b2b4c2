#include "core/TargetVersions.h"

#include <algorithm>

namespace limpetpond {

namespace {

    /// Where targets are replaced one after the other, or entries are written again after an outage of the store, no established version is
    /// listed for less than this time.
    constexpr Duration absenceTime = std::chrono::seconds(5);

    bool isEstablished(const TargetVersions& versions, const TargetVersion& version) { return versions.established.contains(version); }

    void establishOldest(TargetVersions& versions, const std::vector<VersionedTarget>& targets)
    {
        const VersionedTarget* oldest = nullptr;
        for (const VersionedTarget& target : targets) {
            bool isCandidateOrExcluded = versions.excluded.contains(target.version) || versions.candidate == target.version;
            if (!isCandidateOrExcluded && (!oldest || target.startedAt < oldest->startedAt))
                oldest = &target;
        }
        if (oldest)
            versions.established.insert(oldest->version);
    }

    void establishPresent(TargetVersions& versions, const std::vector<VersionedTarget>& targets)
    {
        for (const VersionedTarget& target : targets) {
            if (!versions.excluded.contains(target.version) && versions.candidate != target.version)
                versions.established.insert(target.version);
        }
    }

} // namespace

bool updateVersions(TargetVersions& versions, const std::vector<VersionedTarget>& targets, SteadyTime now)
{
    std::size_t before = versions.established.size();
    if (versions.established.empty())
        establishOldest(versions, targets);
    bool isAnyPresent = std::any_of(targets.begin(), targets.end(), [&](const VersionedTarget& target) { return isEstablished(versions, target.version); });
    if (isAnyPresent || targets.empty()) {
        versions.absentSince.reset();
    } else if (!versions.absentSince) {
        versions.absentSince = now;
    } else if (now - *versions.absentSince >= absenceTime) {
        establishPresent(versions, targets);
        versions.absentSince.reset();
    }
    return versions.established.size() != before;
}

bool mayGetRequests(const TargetVersions& versions, const TargetVersion& version) { return isEstablished(versions, version) || versions.candidate == version; }

void beginRollout(TargetVersions& versions, const TargetVersion& to)
{
    if (versions.candidate && versions.candidate != to)
        versions.excluded.insert(*versions.candidate);
    versions.excluded.erase(to);
    versions.candidate = to;
}

void establishCandidate(TargetVersions& versions, const TargetVersion& to)
{
    versions.excluded.erase(to);
    versions.established = { to };
    versions.candidate.reset();
}

void excludeCandidate(TargetVersions& versions, const TargetVersion& to)
{
    versions.established.erase(to);
    versions.excluded.insert(to);
    versions.candidate.reset();
}

} // namespace limpetpond
