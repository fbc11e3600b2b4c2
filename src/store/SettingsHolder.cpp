#include "store/SettingsHolder.h"

namespace limpetpond {

namespace detail {

    namespace {

        constexpr std::size_t maxHeldChanges = 1'000;

    } // namespace

} // namespace detail

SettingsHolder::SettingsHolder()
    : m_tree(std::make_shared<const SettingsTree>())
{
}

std::shared_ptr<const SettingsTree> SettingsHolder::tree() const
{
    std::scoped_lock lock(m_mutex);
    return m_tree;
}

std::shared_ptr<const Settings> SettingsHolder::settings() const
{
    std::scoped_lock lock(m_mutex);
    return m_settings;
}

std::shared_ptr<const Settings> SettingsHolder::adopt(SettingsTree tree, std::vector<AcceptedChange> changes)
{
    auto settings = std::make_shared<const Settings>(resolve(tree));
    auto shared = std::make_shared<const SettingsTree>(std::move(tree));
    std::scoped_lock lock(m_mutex);
    bool isNewer = !m_settings || shared->version > m_tree->version;
    if (!isNewer)
        return m_settings;
    m_tree = std::move(shared);
    m_settings = std::move(settings);
    recordChanges(std::move(changes));
    return m_settings;
}

void SettingsHolder::recordChanges(std::vector<AcceptedChange> changes)
{
    for (AcceptedChange& change : changes) {
        bool follows = m_changes.empty() || change.version.value() == m_changes.back().version.value() + 1;
        if (!follows && change.version <= m_changes.back().version)
            continue;
        if (!follows)
            m_changes.clear();
        m_changes.push_back(std::move(change));
    }
    if (!m_changes.empty() && m_changes.back().version != m_tree->version)
        m_changes.clear();
    while (m_changes.size() > detail::maxHeldChanges)
        m_changes.pop_front();
}

std::optional<std::vector<AcceptedChange>> SettingsHolder::changesAfter(SettingsVersion version) const
{
    std::scoped_lock lock(m_mutex);
    if (version >= m_tree->version)
        return std::vector<AcceptedChange>();
    if (m_changes.empty() || m_changes.front().version.value() > version.value() + 1)
        return std::nullopt;
    std::vector<AcceptedChange> changes;
    for (const AcceptedChange& change : m_changes) {
        if (change.version > version)
            changes.push_back(change);
    }
    return changes;
}

Result<std::shared_ptr<const Settings>> fetchFromStore(SettingsHolder& holder, SettingsStore& store)
{
    std::shared_ptr<const SettingsTree> held = holder.tree();
    BOOST_LEAF_AUTO(newest, store.catchUp(*held));
    return holder.adopt(std::move(newest.tree), std::move(newest.changes));
}

Result<StoredChange> acceptAndAdopt(SettingsHolder& holder, SettingsStore& store, const ProposedChange& proposed, SystemTime now)
{
    std::shared_ptr<const SettingsTree> held = holder.tree();
    BOOST_LEAF_AUTO(stored, store.accept(*held, proposed, now));
    holder.adopt(stored.newest.tree, stored.newest.changes);
    return stored;
}

ProposedChange changeForMark(const MarkTarget& step)
{
    SettingsEdit edit { .path = branchPath(BranchKind::Target, step.target.value()), .field = "mark", .readVersion = step.branchVersion };
    edit.value = step.cleaning ? "cleaning" : "serving";
    return { .change = step.change, .author = "cleaning-schedule", .edits = { std::move(edit) } };
}

} // namespace limpetpond
