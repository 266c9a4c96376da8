// The operator's manifest, as PROTOCOL.md lays it out.

export const KEY = "tnfzs989anu6wsjnbanf";

/** As `fleetbench wire` shows it. */
export const MAX_BODY_BYTES = 67_108_864;

export function writePlan(store, version, { routes, services, tenants }) {
  const Resources = [
    ...routes.map(({ name, ...spec }) => ({
      EntryKind: "Routes",
      Metadata: { Name: name },
      Spec: {
        Host: "shop.example",
        TimeoutS: 4,
        AimS: 0.4,
        Priority: 0,
        MaxAttempts: 2,
        Public: false,
        SessionAffinity: true,
        AllowedRegions: [],
        ...spec,
      },
    })),
    ...services.map((name) => ({
      EntryKind: "Services",
      Metadata: { Name: name },
      Spec: {
        HealthPath: "/health",
        MaxConnections: 390,
        Protocol: "h1",
        Tls: false,
        ColdStartS: 3,
        ColdPerS: 15,
      },
    })),
    ...(tenants ?? [{ name: "t1" }]).map(({ name, ...spec }) => ({
      EntryKind: "Tenants",
      Metadata: { Name: name },
      Spec: {
        ApiKeys: [KEY],
        Priority: 0,
        RatePerS: 0,
        Burst: 0,
        AllowedRegions: [],
        ...spec,
      },
    })),
    {
      EntryKind: "Limits",
      Metadata: {},
      Spec: {
        MaxHeaderBytes: 16384,
        MaxBodyBytes: MAX_BODY_BYTES,
        HeaderTimeoutS: 3,
        IdleTimeoutS: 15,
      },
    },
  ];
  store.put("config", "main", {
    Version: version.toString(16).padStart(8, "0"),
    BaseVersion: "00000000",
    Resources,
  });
}
