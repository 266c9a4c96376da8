/**
 * The two existing deployments, at their real sizes.
 *
 * @module
 */

/** A service of a deployment. */
export interface DeploymentService {
  readonly targets: number;
  readonly slots: number;
  readonly idempotent: boolean;
  /** Time that an endpoint works on a request. */
  readonly workMs: number;
  /** Fraction of all requests that go to this service. */
  readonly mix: number;
}

/** A client account of a deployment. */
export interface DeploymentAccount {
  readonly ratePerS: number;
  readonly burst: number;
}

/** One deployment. */
export interface Deployment {
  readonly regions: Readonly<Record<string, readonly string[]>>;
  /** Entry instances in each availability zone. */
  readonly instancesPerZone: number;
  readonly linkMbit: number;
  readonly connections: number;
  readonly services: Readonly<Record<string, DeploymentService>>;
  readonly accounts: Readonly<Record<string, DeploymentAccount>>;
}

const INSTANCES_PER_ZONE = 2;

/** Deployments by name. */
export const DEPLOYMENTS: Readonly<
  Record<"kuratori" | "roadwatch", Deployment>
> = {
  kuratori: {
    regions: {
      "eu-north": ["eu-north-a", "eu-north-b"],
      "eu-central": ["eu-central-a", "eu-central-b"],
      "ap-east": ["ap-east-a", "ap-east-b"],
    },
    instancesPerZone: INSTANCES_PER_ZONE,
    linkMbit: 4_000,
    connections: 390,
    services: {
      catalog: {
        targets: 20,
        slots: 9,
        idempotent: true,
        workMs: 80,
        mix: 0.8,
      },
      allocator: {
        targets: 12,
        slots: 9,
        idempotent: false,
        workMs: 120,
        mix: 0.12,
      },
      orderdesk: {
        targets: 12,
        slots: 4,
        idempotent: false,
        workMs: 150,
        mix: 0.08,
      },
    },
    accounts: accounts("importer", [200, 120, 80, 40, 40, 20, 20, 10]),
  },
  roadwatch: {
    regions: {
      gulf: ["gulf-a", "gulf-b"],
      piedmont: ["piedmont-a", "piedmont-b"],
      delta: ["delta-a", "delta-b"],
    },
    instancesPerZone: INSTANCES_PER_ZONE,
    linkMbit: 280,
    connections: 360,
    services: {
      mapview: {
        targets: 18,
        slots: 4,
        idempotent: true,
        workMs: 60,
        mix: 0.8,
      },
      signup: {
        targets: 12,
        slots: 3,
        idempotent: false,
        workMs: 90,
        mix: 0.12,
      },
      crewdesk: {
        targets: 12,
        slots: 3,
        idempotent: false,
        workMs: 90,
        mix: 0.08,
      },
    },
    accounts: accounts("county", [200, 120, 80, 40, 40, 20, 20, 10]),
  },
};

/** The API key of an account in examples and demos. */
export function keyOf(account: string): string {
  return `example-key-of-${account}`;
}

/** The token of the single operator role in examples and demos. */
export const OPERATOR_TOKEN = "example-token-of-the-operator";

/** Builds the document's sections; `urlOf` gives the URL of an endpoint. */
export function sectionsOf(
  deployment: Deployment,
  { urlOf, digest }: {
    urlOf: (endpoint: string) => string;
    digest: (text: string) => string;
  },
): Record<string, unknown> {
  const zones = Object.values(deployment.regions).flat();
  return {
    access: {
      roles: {
        operator: { token_sha256: digest(OPERATOR_TOKEN), edits: ["*"] },
      },
    },
    regions: regionsOf(deployment),
    accounts: {
      accounts: mapValues(deployment.accounts, (_a, id) => ({
        keys: [{ id: `${id}-1`, sha256: digest(keyOf(id)) }],
      })),
    },
    rates: {
      rates: mapValues(deployment.accounts, (a) => ({
        rate_per_s: a.ratePerS,
        burst: a.burst,
      })),
    },
    services: {
      services: mapValues(deployment.services, (service, id) => ({
        deadline_ms: 2_000,
        routes: [{
          method: "*",
          path_prefix: "/",
          idempotent: service.idempotent,
        }],
        endpoints: endpointsOf({ id, service, zones, deployment, urlOf }),
      })),
    },
    drains: { drains: [] },
  };
}

/** An endpoint with its service and zone. */
export interface EndpointLocation {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
  readonly spec: DeploymentService;
}

/** Lists every endpoint of a deployment. */
export function endpointList(
  deployment: Deployment,
): EndpointLocation[] {
  const zones = Object.values(deployment.regions).flat();
  return Object.entries(deployment.services).flatMap(([name, service]) =>
    Array.from({ length: service.targets }, (_, i) => ({
      id: `${name}-${i + 1}`,
      zone: zones[i % zones.length] ?? "",
      service: name,
      spec: service,
    }))
  );
}

function endpointsOf({ id, service, zones, deployment, urlOf }: {
  id: string;
  service: DeploymentService;
  zones: string[];
  deployment: Deployment;
  urlOf: (endpoint: string) => string;
}): Record<string, unknown> {
  const names = Array.from(
    { length: service.targets },
    (_, i) => `${id}-${i + 1}`,
  );
  return Object.fromEntries(names.map((name, i) => [name, {
    zone: zones[i % zones.length],
    url: urlOf(name),
    slots: service.slots,
    connections: deployment.connections,
  }]));
}

function regionsOf(deployment: Deployment): unknown {
  const names = Object.keys(deployment.regions);
  const pairs = names.flatMap((from) =>
    names.filter((to) => to !== from).map((to) => ({ from, to }))
  );
  return {
    regions: mapValues(deployment.regions, (zones) => ({
      zones: Object.fromEntries(
        zones.map((z) => [z, { instances: deployment.instancesPerZone }]),
      ),
    })),
    links: pairs.map((pair) => ({
      ...pair,
      cap_mbit_per_s: deployment.linkMbit,
      latency_ms: 12,
    })),
  };
}

function accounts(
  name: string,
  rates: number[],
): Record<string, DeploymentAccount> {
  return Object.fromEntries(
    rates.map((
      ratePerS,
      i,
    ) => [`${name}-${i + 1}`, { ratePerS, burst: ratePerS }]),
  );
}

function mapValues<T, U>(
  record: Readonly<Record<string, T>>,
  map: (value: T, key: string) => U,
): Record<string, U> {
  const entries = Object.entries(record).map(([k, v]) =>
    [k, map(v, k)] as const
  );
  return Object.fromEntries(entries);
}
