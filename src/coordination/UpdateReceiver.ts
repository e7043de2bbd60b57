import type * as commonServices from '../common/services/Services.js';
import * as heldText from './HeldText.js';
import type * as types from './Types.js';

/** Holds the texts that an entry VM got from control VMs, and applies updates to them. */
export class UpdateReceiver {
  private readonly texts: Readonly<Record<types.FeedTopic, heldText.HeldText>> = {
    document: new heldText.HeldText(),
    endpoints: new heldText.HeldText(),
  };

  /** Starts without texts. `requestWhole` asks the control VM for the whole text of a topic. */
  constructor(
    private readonly logService: commonServices.ILogService,
    private readonly requestWhole: (topic: types.FeedTopic) => void,
  ) {}

  /** Digests of the texts that are held, by topic; empty for none. */
  get digests(): Readonly<Record<types.FeedTopic, string>> {
    const { document, endpoints } = this.texts;
    return { document: document.digest, endpoints: endpoints.digest };
  }

  /** Holds a text that was got whole. */
  set(topic: types.FeedTopic, text: string): void {
    this.texts[topic].set(text);
  }

  /** Returns the text after an update; otherwise requests the whole text, unless that is what cannot be read. */
  apply(update: types.IUpdate): string | undefined {
    const { topic, version, packed } = update;
    const text = this.texts[topic].apply(update);
    if (text === undefined) {
      const isWhole = packed !== undefined;
      this.logService.warn('update-not-applied', { topic, version, isWhole });
      if (!isWhole) {
        this.requestWhole(topic);
      }
    }
    return text;
  }
}
