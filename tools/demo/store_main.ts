/** The store stand-in as a process; it prints its address. */
import { StoreServer } from "../standins/store_server.ts";

const store = await StoreServer.open();
console.log(JSON.stringify({ url: store.url }));
