/** Keys of the demo workspaces: known to everyone, so never use them outside a demo on loopback. */

/** Key text by workspace. */
export const DEMO_KEYS: Readonly<Record<string, string>> = {
  'norrsken-council':
    'avd_norrsken-council-demo_76a303560c095c84d55e6f12b3da5db13f861ce277d222daf90fee4b20499880',
  'coastal-council':
    'avd_coastal-council-demo_2d46c461f1bf4022c7b9bf17db025e17b57902d89a10fe38fd2f38ed3b810d4f',
  'forest-council':
    'avd_forest-council-demo_6fc8689a47cd008318d1fe75eb024ed9909f52159503e4919678cc7698e13167',
  'press-desk':
    'avd_press-desk-demo_e8820eb97182b23c3ebd136a2c0205db745ef7a63a2a5ce06a954526a7c58ba7',
  'open-data-portal':
    'avd_open-data-portal-demo_905362572635f772f5e4c16e04ab707aab5fca7fc700803515b97f2709034759',
};
