/** Runs the fake store as a process and prints its URL. */
import { StoreServer } from "../standins/store_server.ts";

const store = await StoreServer.open();
console.log(JSON.stringify({ url: store.url }));
