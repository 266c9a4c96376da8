import { LimitFleet, maxPerWindow } from "./src/decisions/endpoint_limits/testing/limit_fleet.ts";
const [size, delay, rate, times, seed] = process.argv.slice(2).map(Number) as [number, number, number, number, number];
const f = new LimitFleet({ size, gossipDelayMs: delay, ratePerS: rate, seed });
f.run(4000, () => times * rate / size); f.resetCounts();
f.run(20000, () => times * rate / size);
console.log(`${size} ${rate} ${times} ${seed} used ${(f.sent / (rate * Math.min(1, times) * 20)).toFixed(2)} full ${(f.maxInWindow / maxPerWindow(rate)).toFixed(2)}`);
