/** Adjusts news on crashes that wait before they are sent: times in them are ages. */
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/**
 * Returns news as they are to be sent `duration` after they were made.
 *
 * @example
 * const sent = ageNews(news, clock.monotonic() - madeAt);
 */
export function ageNews(news: types.IBlameNews, duration: commonTypes.Millis): types.IBlameNews {
  const crashes = news.crashes.map((crash) => ({
    ...crash,
    age: crash.age + duration,
    suspects: crash.suspects.map((suspect) => ({
      ...suspect,
      placedAge: suspect.placedAge + duration,
    })),
  }));
  const proofs = news.proofs.map(({ trait, age }) => ({ trait, age: age + duration }));
  return { crashes, proofs };
}
