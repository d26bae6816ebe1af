/** Configuration of a small deployment, as its operator writes it. */
export function createConfiguration(overrides = {}) {
    const route = { host: "shop.example", priority: 1, public: false };
    return {
        version: 1,
        routes: [
            {
                ...route,
                name: "r-reserve",
                prefix: "/reserve/",
                "route-type": "non_idempotent",
                service: "stock-app",
                "max-attempts": 1,
                "timeout-ms": 4000,
                "target-latency-ms": 386,
            },
            {
                ...route,
                name: "r-lookup",
                prefix: "/lookup/",
                "route-type": "idempotent",
                service: "stock-app",
                "max-attempts": 2,
                "timeout-ms": 4000,
                "target-latency-ms": 386,
            },
        ],
        services: [
            {
                name: "stock-app",
                "health-check-path": "/health",
                "connection-limit": 110,
                protocol: "h1",
                tls: false,
                "cold-start-s": 0,
                "cold-per-s": 0,
            },
        ],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        tenants: [{ name: "tenant-1", "api-keys": ["key-1"], priority: 1 }],
        ...overrides,
    };
}
