/**
 * What the limiter of endpoints' rates decides on, and by what.
 *
 * @module
 */

/** A request for an endpoint with a limit. */
export interface LimitedRequest {
  /** The endpoint's limit over all instances, in requests a second. */
  readonly ratePerS: number;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
}

/** What a limit's decisions are based on, for logs. */
export interface LimitState {
  /** The fleet's demand, in requests a second. */
  readonly demandPerS: number;
  /** Fraction of the requests that is admitted. */
  readonly fraction: number;
  /** Credit that may be added here before others learn of sends. */
  readonly creditLeft: number;
  /** Sends in the window, of the fleet as reported and of this instance. */
  readonly windowSent: number;
  readonly ownWindowSent: number;
  /** Requests sent from here since the limit is tracked. */
  readonly sent: number;
  /** Instances whose reports are known, this one included. */
  readonly reporting: number;
  /** Fraction of the limit that is reserved for unreachable instances. */
  readonly reserved: number;
}

/** The credit that one request adds and borrows. */
export interface RequestCredit {
  readonly added: number;
  readonly borrowed: number;
  /** Whether it may be sent. */
  readonly isEnough: boolean;
}
