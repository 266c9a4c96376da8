export default {
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx"],
  workerThreads: false,
  concurrency: 6,
  timeout: "120s",
  files: ["src/**/*_test.ts", "tools/**/*_test.ts", "platform/**/*_test.ts"],
};
