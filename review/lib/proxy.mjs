// A loopback TCP proxy whose open connections can go silent for good, without a
// close or a reset, while new ones work.
import { connect, createServer } from "node:net";

export class Proxy {
  #server;
  #links = new Set();

  static async listen(target) {
    const proxy = new Proxy();
    proxy.#server = createServer((client) => proxy.#accept(client, target));
    await new Promise((done) => proxy.#server.listen(0, "127.0.0.1", done));
    return proxy;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Makes all open connections silent; returns their number. */
  silence() {
    for (const link of this.#links) link.silent = true;
    return this.#links.size;
  }

  close() {
    for (const { client, upstream } of this.#links) {
      client.destroy();
      upstream.destroy();
    }
    return new Promise((done) => this.#server.close(done));
  }

  #accept(client, target) {
    const [host, port] = target.split(":");
    const upstream = connect(Number(port), host);
    const link = { client, upstream, silent: false };
    this.#links.add(link);
    for (const [from, to] of [[client, upstream], [upstream, client]]) {
      from.setNoDelay(true);
      from.on("data", (bytes) => {
        if (!link.silent) to.write(bytes);
      });
      from.on("end", () => {
        if (!link.silent) to.end();
      });
      from.on("error", () => {});
      from.on("close", () => {
        if (link.silent && from === upstream) return;
        this.#links.delete(link);
        if (!link.silent) to.destroy();
        else upstream.destroy();
      });
    }
  }
}
