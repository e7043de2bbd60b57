/** Keys of the demo workspaces: known to everyone, so never use them outside a demo on loopback. */

/** Key text by workspace. */
export const DEMO_KEYS: Readonly<Record<string, string>> = {
  'batangas-fishers':
    'avd_batangas-fishers-demo_c6afd02637a53ff73441e39b592c7105a152f05e2bc1764dbcbd316418e4551f',
  'dairy-cooperative':
    'avd_dairy-cooperative-demo_09f2b1b9ce9803323e705ac3c9f2d980f00a17ac5a12a93e13c966dc84f73dc8',
  'rice-growers':
    'avd_rice-growers-demo_c03e9815b031c37dd11254ea8c5c1877c2935a53e70aef4a1b04c6f00fd90da9',
  'market-vendors':
    'avd_market-vendors-demo_cebfb69c33a9c4447fa4a6e5aa50bb7c902987bc098759275a11634cd9ca2f89',
  'audit-office':
    'avd_audit-office-demo_9f05d2a8fb82715fdfa6701f23e041aba7e95e72384ad27f89e3d1775e849ca6',
};
