#pragma once

/// Finds the route and the client account of a request in the current settings.

#include "core/ServingSettings.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace limpetpond {

/// Hashes text keys, so that a `std::string_view` finds them without a copy.
struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
};
template <typename Value>
using TextMap = boost::unordered_flat_map<std::string, Value, TextHash, std::equal_to<>>;

/// One version of the settings and the indexes over it; immutable.
struct IndexedSettings {
    ServingSettings settings;
    TextMap<TextMap<std::size_t>> routesByHost; ///< Host, then prefix, to the route's index in `settings.routes`.
    TextMap<std::size_t> accountsByKey; ///< API key to the account's index in `settings.accounts`.
};

/// Builds the indexes.
///
///     std::shared_ptr<const IndexedSettings> settings = indexSettings(decoded);
///     const RouteSettings* route = findRoute(*settings, "example", "/a/b");
std::shared_ptr<const IndexedSettings> indexSettings(ServingSettings);

/// The route of the host with the longest prefix that matches the path; null for none. A query in the path is ignored.
///
///     findRoute(*settings, "example", "/a/b?c=d");
const RouteSettings* findRoute(const IndexedSettings&, std::string_view host, std::string_view path);

/// The account of the API key; null for none.
///
///     const AccountSettings* account = findAccount(*settings, key);
const AccountSettings* findAccount(const IndexedSettings&, std::string_view key);

/// Chooses one of a route's pools by weight; `random` is uniformly distributed.
///
///     PoolId pool = choosePool(*route, generator());
const PoolId& choosePool(const RouteSettings&, std::uint64_t random);

/// Whether a request of the route may run more than once.
///
///     if (mayRunAgain(*route)) retry();
bool mayRunAgain(const RouteSettings&);

} // namespace limpetpond
