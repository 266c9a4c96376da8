// A stand-in for the platform's store: objects by kind and name, one revision
// counter, lists, watches and conditional writes, as PROTOCOL.md describes them.
import { createServer } from "node:http";

export class Store {
  mode = "up"; // "up", "busy" (503), "silent" (no answer)
  calls = [];
  #objects = new Map();
  #history = [];
  #first = 1;
  #revision = 1;
  #waiting = new Set();
  #server;

  static async listen(port = 0) {
    const store = new Store();
    store.#server = createServer((req, res) => void store.#serve(req, res));
    await new Promise((done) => store.#server.listen(port, "127.0.0.1", done));
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  get revision() {
    return this.#revision;
  }

  /** Writes an object as the operator or a target does. */
  put(kind, name, spec, extra = {}) {
    const old = this.#objects.get(`${kind}/${name}`);
    const revision = ++this.#revision;
    const object = {
      Metadata: {
        Name: name,
        Revision: revision,
        CreatedRev: old?.Metadata.CreatedRev ?? revision,
        Finalizers: [],
        Deleting: false,
      },
      Spec: spec,
      Status: null,
      ...extra,
    };
    this.#objects.set(`${kind}/${name}`, object);
    this.#changed(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const old = this.#objects.get(`${kind}/${name}`);
    if (old === undefined) return;
    this.#objects.delete(`${kind}/${name}`);
    const Revision = ++this.#revision;
    const object = { ...old, Metadata: { ...old.Metadata, Revision } };
    this.#changed(kind, object, true);
  }

  dropHistory() {
    this.#history = [];
    this.#first = this.#revision + 1;
  }

  close() {
    this.#server.closeAllConnections();
    return new Promise((done) => this.#server.close(done));
  }

  #changed(kind, object, deleted) {
    this.#history.push({
      kind,
      revision: this.#revision,
      event: { Object: object, Deleted: deleted },
    });
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(req, res) {
    let text = "";
    for await (const chunk of req) text += chunk;
    if (this.mode === "silent") return;
    if (this.mode === "busy") return end(res, 503);
    const url = new URL(req.url, "http://store");
    const [, , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    if (req.method === "GET") return await this.#read(res, kind, name, url);
    const body = text === "" ? {} : JSON.parse(text);
    const key = `${kind}/${name ?? body.Metadata?.Name}`;
    const old = this.#objects.get(key);
    if (req.method === "POST") {
      if (old !== undefined) return end(res, 409, old);
      return end(res, 200, this.put(kind, body.Metadata.Name, body.Spec));
    }
    if (old === undefined) return end(res, 404);
    if (req.method === "PUT") {
      return end(res, 200, this.put(kind, name, body.Spec));
    }
    this.remove(kind, name);
    end(res, 200, old);
  }

  async #read(res, kind, name, url) {
    if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${name}`);
      return end(res, object === undefined ? 404 : 200, object);
    }
    const since = url.searchParams.get("Watch");
    if (since === null) {
      const items = [...this.#objects].filter(([key]) =>
        key.startsWith(`${kind}/`)
      ).map(([, object]) => object);
      return end(res, 200, {
        items,
        More: false,
        CurrentRev: this.#revision,
      });
    }
    if (Number(since) + 1 < this.#first) return end(res, 410);
    const events = () =>
      this.#history.filter((c) => c.kind === kind && c.revision > Number(since))
        .map(({ event }) => event);
    if (events().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (events().length === 0) return;
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(() => {
          this.#waiting.delete(wake);
          resolve();
        }, Number(url.searchParams.get("WaitMs") ?? 0));
        this.#waiting.add(wake);
      });
    }
    if (this.mode === "silent") return;
    end(res, 200, { events: events(), CurrentRev: this.#revision });
  }
}

function end(res, status, body) {
  res.writeHead(status, { "Content-Type": "application/json" });
  res.end(body === undefined ? "" : JSON.stringify(body));
}
