#pragma once

/// A client of the platform's object store, by the S3 protocol with path-style addresses.

#include "http/HttpClient.h"
#include <optional>
#include <string>

namespace limpetpond {

/// A thread-safe client of one bucket. It never retries.
///
///     ObjectStore store({ "127.0.0.1", 9000 }, "limpetpond");
///     Result<std::optional<std::string>> tree = store.get("snapshots/12.json");
class ObjectStore {
public:
    ObjectStore(HttpEndpoint, std::string bucket, HttpTimeouts = {});

    /// Reads an object; no value when it does not exist.
    Result<std::optional<std::string>> get(const std::string& key);

    /// Writes an object in one request, replacing an existing one.
    Result<void> put(const std::string& key, const std::string& body, const std::string& contentType = "application/octet-stream");

private:
    std::string pathOf(const std::string& key) const;

    std::string m_bucket;
    HttpConnectionPool m_pool;
};

} // namespace limpetpond
